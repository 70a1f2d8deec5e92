import type { MetricsPage, MetricsSources } from './MetricsPage.js';

/**
 * Creates what renders the metrics. The library and its measurement of the event loop, which wakes an idle process ten
 * times a second, begin with the first read.
 * @param sources - Where the values come from.
 */
export function createMetricsRenderer(sources: MetricsSources): () => Promise<string> {
  let page: Promise<MetricsPage> | undefined;
  return async () => {
    page ??= import('./MetricsPage.js').then((loaded) => new loaded.MetricsPage(sources));
    const ready = await page;
    return ready.render();
  };
}
