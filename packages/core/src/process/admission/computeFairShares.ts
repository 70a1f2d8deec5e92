/** Demand of one workspace. */
export interface Demand {
  readonly workspace: string;
  readonly weight: number;
  readonly demand: number;
}

/**
 * Divides an amount among workspaces by weighted max-min fairness: what a workspace does not need goes to the others.
 * @param amount - Amount to divide.
 * @param demands - Demands of the workspaces.
 * @returns The share of each workspace, in the order of the demands.
 */
export function computeFairShares(amount: number, demands: readonly Demand[]): readonly number[] {
  const order = demands
    .map((demand, index) => ({ ...demand, index }))
    .sort((left, right) => left.demand / left.weight - right.demand / right.weight);
  const parts = demands.map(() => 0);
  let left = amount;
  let weightLeft = order.reduce((sum, { weight }) => sum + weight, 0);
  order.forEach(({ demand, weight, index }) => {
    parts[index] = Math.min(demand, (left * weight) / weightLeft);
    left -= parts[index];
    weightLeft -= weight;
  });
  return parts;
}
