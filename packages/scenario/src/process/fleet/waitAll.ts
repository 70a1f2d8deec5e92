/**
 * Waits for every task, also after one has failed: a task that goes on alone could start a process after everything
 * was stopped.
 * @param tasks - Tasks under way.
 * @returns Their results; rejects with the first failure once all have ended.
 */
export async function waitAll<T>(tasks: readonly Promise<T>[]): Promise<readonly T[]> {
  await Promise.allSettled(tasks);
  return Promise.all(tasks);
}
