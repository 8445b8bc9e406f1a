"""Figures that the measurements print, and their targets."""

from __future__ import annotations

from typing import Literal, NamedTuple

# "decisions" calls the code within the measuring process, "processes" starts programs.
MeasurementMethod = Literal["decisions", "processes"]


class Target(NamedTuple):
    """A bound on a figure, from the targets on the design page."""

    bound: float
    unit: str
    at_least: bool = False


class Figure(NamedTuple):
    """One measured value; ``variant`` names a baseline or a single case, if any."""

    name: str
    value: float
    how: MeasurementMethod
    variant: str = ""


TARGETS = {
    "flows.broken_planned": Target(bound=0, unit="flows"),
    "flows.broken_entry_loss": Target(bound=0, unit="flows"),
    "flows.foreign_packets": Target(bound=0, unit="packets"),
    "flows.pinned_decision": Target(bound=10, unit="us"),
    "flows.new_decision": Target(bound=25, unit="us"),
    "flows.dict_lookup": Target(bound=10, unit="us"),
    "flows.bytes": Target(bound=256, unit="bytes"),
    "flows.cost_growth": Target(bound=1.25, unit="ratio"),
    "transport.packets": Target(bound=0.5, unit="ratio", at_least=True),
    "control.bytes_steady": Target(bound=4096, unit="bytes/s"),
    "control.bytes_change": Target(bound=14336, unit="bytes/s"),
    "upstreams.cold_excess": Target(bound=0, unit="requests"),
    "upstreams.leave_last_work": Target(bound=2, unit="s"),
    # Failed requests relative to those that fail in the same fault without ejection:
    # ejection must never increase the number of failures.
    "upstreams.failed_requests": Target(bound=1, unit="ratio"),
    "balance.flows": Target(bound=1.10, unit="ratio"),
    "balance.requests": Target(bound=1.25, unit="ratio"),
    "requests.duplicate_runs": Target(bound=0, unit="runs"),
    "requests.false_not_run": Target(bound=0, unit="requests"),
    "requests.answered_in_overload": Target(bound=0.9, unit="ratio", at_least=True),
    "requests.recovery_after_overload": Target(bound=5, unit="s"),
    "centre.out_last_packet": Target(bound=3, unit="s"),
    "centre.service_ratio": Target(bound=0.999, unit="ratio", at_least=True),
    "token.decision": Target(bound=10, unit="us"),
    "token.opening": Target(bound=25, unit="us"),
    "token.packets": Target(bound=0.5, unit="ratio", at_least=True),
    # Goodput close to the offered load, and not reduced by overload of the links.
    "link.goodput_third": Target(bound=0.95, unit="ratio", at_least=True),
    "link.goodput_kept": Target(bound=1, unit="ratio", at_least=True),
    "cold.excess_over_entries": Target(bound=0, unit="flows"),
    "entry.start_cpu": Target(bound=0.3, unit="s"),
    "entry.start_memory": Target(bound=256, unit="MB"),
    "config.in_force": Target(bound=2, unit="s"),
    "config.lost": Target(bound=0, unit="changes"),
    "config.reverted": Target(bound=0, unit="changes"),
}


def format_figure(figure: Figure) -> str:
    """Return the output line of a figure."""
    target = TARGETS[figure.name]
    if target.at_least:
        is_met = figure.value >= target.bound
    else:
        is_met = figure.value <= target.bound
    line = (
        f"figure={figure.name} value={figure.value:.6g} unit={target.unit} "
        f"target={target.bound:g} met={'yes' if is_met else 'no'} how={figure.how}"
    )
    return f"{line} variant={figure.variant}" if figure.variant else line
