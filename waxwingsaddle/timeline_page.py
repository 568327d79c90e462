"""Renders a timeline as one HTML page with inline SVG.

The page loads nothing over the network.
"""

from collections.abc import Iterator, Sequence
from html import escape

from waxwingsaddle.events import Event
from waxwingsaddle.timeline import format_event, process_name

# Sizes in pixels.
LABEL_WIDTH = 220
PLOT_WIDTH = 1400
ROW_HEIGHT = 26
TOP = 30
MARKER_RADIUS = 4
TICKS = 8
MS_PER_S = 1000
# Palette of Okabe and Ito, distinguishable with colour blindness.
COLOURS = (
    '#0072b2',
    '#d55e00',
    '#009e73',
    '#cc79a7',
    '#e69f00',
    '#56b4e9',
    '#000000',
)
_PAGE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title>
<style>
body {{ font: 13px sans-serif; margin: 1em }}
text {{ font: 12px sans-serif }}
line {{ stroke: #ccc }}
pre {{ font-size: 12px }}
</style></head><body>
<h1>Time line</h1>
<p>{summary}</p>
<p>{legend}</p>
{drawing}
<pre>{lines}</pre>
</body></html>
"""


def render_page(events: Sequence[Event]) -> str:
    """Returns an HTML page with one row per process.

    Args:
        events: Events in the order of `timeline.sort_key`.
    """
    colours = _colour_by_kind(events)
    legend = ' '.join(
        f'<span style="color:{colour}">&#9679; {escape(kind)}</span>'
        for kind, colour in colours.items()
    )
    return _PAGE.format(
        summary=f'{len(events)} events, times in UTC',
        legend=legend,
        drawing=_svg(events, colours),
        lines='\n'.join(escape(format_event(event)) for event in events),
    )


def _colour_by_kind(events: Sequence[Event]) -> dict[str, str]:
    kinds = sorted({event.kind for event in events})
    return {
        kind: COLOURS[number % len(COLOURS)]
        for number, kind in enumerate(kinds)
    }


def _svg(events: Sequence[Event], colours: dict[str, str]) -> str:
    if not events:
        return '<p>No events.</p>'
    processes = sorted({process_name(event) for event in events})
    height = TOP + ROW_HEIGHT * (len(processes) + 1)
    width = LABEL_WIDTH + PLOT_WIDTH + ROW_HEIGHT
    first_ms, last_ms = events[0].wall_ms, events[-1].wall_ms
    span_ms = max(1, last_ms - first_ms)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{height}" role="img">',
        *_ticks(span_ms, height),
        *_rows(processes),
    ]
    for event in events:
        position = (event.wall_ms - first_ms) / span_ms
        row = processes.index(process_name(event))
        parts.append(
            f'<circle cx="{LABEL_WIDTH + position * PLOT_WIDTH:.1f}" '
            f'cy="{_row_y(row)}" r="{MARKER_RADIUS}" '
            f'fill="{colours[event.kind]}">'
            f'<title>{escape(format_event(event))}</title></circle>',
        )
    return '\n'.join((*parts, '</svg>'))


def _ticks(span_ms: int, height: int) -> Iterator[str]:
    for number in range(TICKS + 1):
        tick_x = LABEL_WIDTH + PLOT_WIDTH * number / TICKS
        offset_s = span_ms * number / TICKS / MS_PER_S
        yield f'<line x1="{tick_x}" y1="{TOP}" x2="{tick_x}" y2="{height}"/>'
        yield f'<text x="{tick_x}" y="{TOP / 2}">+{offset_s:.3f} s</text>'


def _rows(processes: Sequence[str]) -> Iterator[str]:
    for row, name in enumerate(processes):
        row_y = _row_y(row)
        end_x = LABEL_WIDTH + PLOT_WIDTH
        yield f'<text x="0" y="{row_y + MARKER_RADIUS}">{escape(name)}</text>'
        yield (
            f'<line x1="{LABEL_WIDTH}" y1="{row_y}" x2="{end_x}" y2="{row_y}"/>'
        )


def _row_y(row: int) -> int:
    return TOP + ROW_HEIGHT * (row + 1)
