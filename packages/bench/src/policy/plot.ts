import type { BenchOutcome } from './simulation';
import { WORKLOAD_END_MS } from './workload';

/** Attainment over time of one policy. */
export interface PlotSeries {
  label: string;
  outcomes: readonly BenchOutcome[];
}

const WIDTH = 760;
const HEIGHT = 260;
const MARGIN = 40;
const BUCKET_MS = 5000;
const COLORS = ['#1b6ca8', '#c0392b', '#e08e0b', '#6c3483'];

/** Renders attainment in windows of 5 s as an SVG line chart. */
export function renderAttainmentPlot(title: string, series: readonly PlotSeries[]): string {
  const lines = series.map((item, index) =>
    renderSeries(item, COLORS[index % COLORS.length] ?? '#000'),
  );
  const legend = series.map((item, index) => {
    const x = MARGIN + index * 170;
    const color = COLORS[index % COLORS.length] ?? '#000';
    return `<text x="${x}" y="${HEIGHT - 4}" fill="${color}" font-size="12">${item.label}</text>`;
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="#fff"/>`,
    `<text x="${MARGIN}" y="18" font-size="14">${title}</text>`,
    ...renderAxes(),
    ...lines,
    ...legend,
    '</svg>',
  ].join('\n');
}

function renderSeries(series: PlotSeries, color: string): string {
  const points: string[] = [];
  for (let fromMs = 0; fromMs < WORKLOAD_END_MS; fromMs += BUCKET_MS) {
    const inBucket = series.outcomes.filter(
      ({ arrival }) => arrival.atMs >= fromMs && arrival.atMs < fromMs + BUCKET_MS,
    );
    if (inBucket.length === 0) continue;
    const share = inBucket.filter((outcome) => outcome.onTime).length / inBucket.length;
    points.push(`${toX(fromMs + BUCKET_MS / 2)},${toY(share)}`);
  }
  return `<polyline fill="none" stroke="${color}" stroke-width="2" points="${points.join(' ')}"/>`;
}

function renderAxes(): string[] {
  const shares = [0, 0.5, 1].map(
    (share) =>
      `<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${toY(share)}" y2="${toY(share)}" stroke="#ccc"/>` +
      `<text x="8" y="${toY(share) + 4}" font-size="11">${share * 100}%</text>`,
  );
  const seconds = [0, 30, 60, 90, 120].map(
    (second) =>
      `<text x="${toX(second * 1000)}" y="${HEIGHT - 22}" font-size="11">${second} s</text>`,
  );
  return [...shares, ...seconds];
}

function toX(atMs: number): number {
  return MARGIN + (atMs / WORKLOAD_END_MS) * (WIDTH - 2 * MARGIN);
}

function toY(share: number): number {
  return HEIGHT - MARGIN - share * (HEIGHT - 2 * MARGIN);
}
