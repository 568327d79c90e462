"""Draws a time line as an HTML page with plain SVG; needs no network."""

from collections.abc import Iterator, Sequence
from html import escape

from waxwingsaddle.events import Event
from waxwingsaddle.timeline import format_event, process_name

# Sizes in pixels.
LABEL_WIDTH = 220
PLOT_WIDTH = 1400
LANE_HEIGHT = 26
TOP = 30
MARK_RADIUS = 4
TICKS = 8
MS_PER_S = 1000
# Colours that stay apart for people with colour blindness (Okabe and Ito).
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
    """Returns an HTML page with one lane a process.

    Args:
        events: In order of the hybrid logical clock.
    """
    colours = _colours(events)
    legend = ' '.join(
        f'<span style="color:{colour}">&#9679; {escape(kind)}</span>'
        for kind, colour in colours.items()
    )
    return _PAGE.format(
        summary=f'{len(events)} events, times in UTC',
        legend=legend,
        drawing=_drawing(events, colours),
        lines='\n'.join(escape(format_event(event)) for event in events),
    )


def _colours(events: Sequence[Event]) -> dict[str, str]:
    kinds = sorted({event.kind for event in events})
    return {
        kind: COLOURS[number % len(COLOURS)]
        for number, kind in enumerate(kinds)
    }


def _drawing(events: Sequence[Event], colours: dict[str, str]) -> str:
    if not events:
        return '<p>No events.</p>'
    lanes = sorted({process_name(event) for event in events})
    height = TOP + LANE_HEIGHT * (len(lanes) + 1)
    width = LABEL_WIDTH + PLOT_WIDTH + LANE_HEIGHT
    first_ms, last_ms = events[0].wall_ms, events[-1].wall_ms
    span_ms = max(1, last_ms - first_ms)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" '
        f'height="{height}" role="img">',
        *_ticks(span_ms, height),
        *_lanes(lanes),
    ]
    for event in events:
        share = (event.wall_ms - first_ms) / span_ms
        row = lanes.index(process_name(event))
        parts.append(
            f'<circle cx="{LABEL_WIDTH + share * PLOT_WIDTH:.1f}" '
            f'cy="{_lane_y(row)}" r="{MARK_RADIUS}" '
            f'fill="{colours[event.kind]}">'
            f'<title>{escape(format_event(event))}</title></circle>',
        )
    return '\n'.join((*parts, '</svg>'))


def _ticks(span_ms: int, height: int) -> Iterator[str]:
    for number in range(TICKS + 1):
        left = LABEL_WIDTH + PLOT_WIDTH * number / TICKS
        after_s = span_ms * number / TICKS / MS_PER_S
        yield f'<line x1="{left}" y1="{TOP}" x2="{left}" y2="{height}"/>'
        yield f'<text x="{left}" y="{TOP / 2}">+{after_s:.3f} s</text>'


def _lanes(lanes: Sequence[str]) -> Iterator[str]:
    for row, name in enumerate(lanes):
        middle = _lane_y(row)
        right = LABEL_WIDTH + PLOT_WIDTH
        yield f'<text x="0" y="{middle + MARK_RADIUS}">{escape(name)}</text>'
        yield (
            f'<line x1="{LABEL_WIDTH}" y1="{middle}" x2="{right}" '
            f'y2="{middle}"/>'
        )


def _lane_y(row: int) -> int:
    return TOP + LANE_HEIGHT * (row + 1)
