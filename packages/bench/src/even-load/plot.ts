/** Prefill time of servers in windows of 1 s against the mean, in ascending order. */
export interface DistributionSeries {
  label: string;
  ratios: readonly number[];
}

const WIDTH = 760;
const HEIGHT = 300;
const MARGIN = 40;
const MAX_RATIO = 10;
const COLORS = ['#c0392b', '#1b6ca8'];
const POINTS = 400;

/** Renders the distributions as an SVG line chart: the share of servers and windows that have at most this load. */
export function renderDistributionPlot(
  title: string,
  series: readonly DistributionSeries[],
): string {
  const lines = series.map(({ ratios }, index) => renderLine(ratios, getColor(index)));
  const legend = series.map(({ label }, index) => {
    const x = MARGIN + index * 220;
    return `<text x="${x}" y="${HEIGHT - 4}" fill="${getColor(index)}" font-size="12">${label}</text>`;
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="#fff"/>`,
    `<text x="${MARGIN}" y="18" font-size="14">${title}: prefill time of a server in 1 s / mean</text>`,
    ...renderAxes(),
    ...lines,
    ...legend,
    '</svg>',
  ].join('\n');
}

function getColor(index: number): string {
  return COLORS[index % COLORS.length] ?? '#000';
}

function renderLine(ratios: readonly number[], color: string): string {
  const points = Array.from({ length: POINTS + 1 }, (_, index) => {
    const share = index / POINTS;
    const ratio = ratios[Math.min(ratios.length - 1, Math.floor(share * ratios.length))] ?? 0;
    return `${toX(share)},${toY(ratio)}`;
  });
  return `<polyline fill="none" stroke="${color}" stroke-width="2" points="${points.join(' ')}"/>`;
}

function renderAxes(): string[] {
  const ratios = [0, 1, 2, 4, 6, 8, 10].map(
    (ratio) =>
      `<line x1="${MARGIN}" x2="${WIDTH - MARGIN}" y1="${toY(ratio)}" y2="${toY(ratio)}" stroke="#ccc"/>` +
      `<text x="16" y="${toY(ratio) + 4}" font-size="11">${ratio}</text>`,
  );
  const shares = [0, 0.25, 0.5, 0.75, 1].map(
    (share) =>
      `<text x="${toX(share)}" y="${HEIGHT - 22}" font-size="11">${share * 100}% of servers and windows</text>`,
  );
  return [...ratios, ...shares.slice(0, -1)];
}

function toX(share: number): string {
  return (MARGIN + share * (WIDTH - 2 * MARGIN)).toFixed(1);
}

function toY(ratio: number): number {
  const bounded = Math.min(MAX_RATIO, ratio);
  return Number((HEIGHT - MARGIN - (bounded / MAX_RATIO) * (HEIGHT - 2 * MARGIN)).toFixed(1));
}
