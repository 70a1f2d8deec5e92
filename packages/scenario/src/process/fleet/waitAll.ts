/**
 * Waits until all tasks have ended, even if one fails. With `Promise.all` alone, a task that continues after another
 * one has failed could start a process after the fleet has been stopped.
 * @param tasks - Running tasks.
 * @returns The results of the tasks. Rejects with the error of the first failed task, in the order given.
 */
export async function waitAll<T>(tasks: readonly Promise<T>[]): Promise<readonly T[]> {
  await Promise.allSettled(tasks);
  return Promise.all(tasks);
}
