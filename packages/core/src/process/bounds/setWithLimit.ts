/**
 * Sets an entry of a bounded map as its newest one. Beyond the limit, the entry that was set least recently is dropped.
 * @param map - Map whose entries are only set by this function.
 * @param key - Key of the entry.
 * @param value - Its value.
 * @param limit - Most entries of the map.
 */
export function setWithLimit<K, V>(map: Map<K, V>, key: K, value: V, limit: number): void {
  map.delete(key);
  map.set(key, value);
  const [oldest] = map.keys();
  if (map.size > limit) {
    map.delete(oldest);
  }
}
