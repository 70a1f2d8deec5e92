/** Source of time. Decisions only use the monotonic reading. */
export interface Clock {
  /** Monotonic time in milliseconds since an arbitrary start. */
  now(): number;

  /** Wall-clock time, for logs and dumps only. */
  date(): Date;
}
