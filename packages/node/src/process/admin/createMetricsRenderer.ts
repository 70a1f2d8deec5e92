import type { MetricsPage, MetricsSources } from './MetricsPage.js';

/**
 * Creates the function that renders the metrics. Its first call loads the metrics library and starts the measurement of
 * the event loop delay, which wakes an idle process ten times a second.
 * @param sources - Callbacks and histograms that provide the values.
 */
export function createMetricsRenderer(sources: MetricsSources): () => Promise<string> {
  let page: Promise<MetricsPage> | undefined;
  return async () => {
    page ??= import('./MetricsPage.js').then((loaded) => new loaded.MetricsPage(sources));
    const ready = await page;
    return ready.render();
  };
}
