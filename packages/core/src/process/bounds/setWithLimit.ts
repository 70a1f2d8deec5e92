/**
 * Sets an entry of a map with a limited size. If the map exceeds the limit, the entry that was set least recently is
 * removed.
 * @param map - Map whose entries are set only by this function.
 * @param key - Key of the entry.
 * @param value - Value of the entry.
 * @param limit - Maximum number of entries.
 */
export function setWithLimit<K, V>(map: Map<K, V>, key: K, value: V, limit: number): void {
  map.delete(key);
  map.set(key, value);
  const [oldest] = map.keys();
  if (map.size > limit) {
    map.delete(oldest);
  }
}
