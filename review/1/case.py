"""A silent voter is demoted before its replacement votes; one lost disk then loses the configuration."""

import sys
import time
from pathlib import Path

from review.common.deployment import TROUBLE, ZONES, configuration, run_case

ZONE_GAP_S = 0.3  # between the ends of the two core machines of the zone
ZONE_LOSS_S = 5.5
WIPE_LOSS_S = 3.0
RECOVERY_S = 12
READ_S = 8  # longer than ContactMs


def case(deployment, record):
    core = [deployment.add(f"core-{zone}-1", zone, "control") for zone in ZONES]
    for machine in core:
        deployment.start(machine, core, True)
    deployment.order(core, "POST", "/configuration/put", configuration(1), 20)
    spare = deployment.add("core-gl-superior-2", "gl-superior", "control")
    deployment.start(spare, core, False)
    time.sleep(3)
    if deployment.leader(core) is core[2]:
        deployment.terminate(core[2])
        deployment.start(core[2], core, False)
        time.sleep(3)
    leader = deployment.leader(core[:2])
    record(f"leader: {leader.name}")
    everyone = [*core, spare]
    record(f"versions read: {deployment.read_version(everyone)}")
    time.sleep(5)
    lost_at = time.monotonic()
    if TROUBLE:
        record("zone loss: gl-superior")
        deployment.power_off(core[2])
        time.sleep(ZONE_GAP_S)
        deployment.power_off(spare)
        time.sleep(max(0, lost_at + 2.2 - time.monotonic()))
    remaining = [leader, *[m for m in core[:2] if m is not leader]]
    acked_by = deployment.order(remaining, "POST", "/configuration/put", configuration(2), 10)
    if acked_by is None:
        return False
    if TROUBLE:
        deployment.power_off(leader)
        deployment.lose_disk(leader)
        time.sleep(WIPE_LOSS_S)
        deployment.start(leader, core, False)
        time.sleep(max(0, lost_at + ZONE_LOSS_S - time.monotonic()))
        deployment.start(core[2], core, False)
        deployment.start(spare, core, False)
    record(f"all machines are back; waiting RecoveryS ({RECOVERY_S} s) before reads count")
    time.sleep(RECOVERY_S)
    end, newest = time.monotonic() + READ_S, None
    while time.monotonic() < end:
        versions = deployment.read_version(everyone)
        record(f"versions read: {versions}")
        newest = max([newest or 0, *[v for v in versions.values() if v]])
        time.sleep(1)
    acked = deployment.order(everyone, "POST", "/configuration/put", configuration(3), 10)
    record(f"newest version read: {newest or 'none'}, acknowledged: 2; a new change is acknowledged: {acked is not None}")
    deployment.copy_logs(["event=replica_role", "takes its vote", "is silent", "rejoins"])
    return (newest or 0) < 2


sys.exit(run_case(Path(__file__).parent, case))
