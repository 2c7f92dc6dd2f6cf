"""One request with a long header, inside the configured limit, ends a front."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "rig-2"))
import rig  # noqa: E402

CALLERS = 10
MAX_HEADER_BYTES = 131072
LONG_VALUE_BYTES = 70000
SHORT_VALUE_BYTES = 1000
MAX_LOST = 3


async def call(fleet, caller, attempt):
    """Sends one request of an ordinary client. Returns whether an answer came."""
    fleet.record.write(f"client sends {attempt}")
    status, _, _, _ = await caller.call(
        "POST", "/book/x", {"Host": "a.example", "Attempt-Id": attempt,
                            "Deadline-Ms": "1500",
                            "Authorization": "Bearer key-acme"}, b"b")
    fleet.record.write(f"client of {attempt} gets {status or 'no answer'}")
    return status != 0


async def send_header(fleet, front):
    """Sends the request with the header in question on a connection of its
    own."""
    size = LONG_VALUE_BYTES if rig.TROUBLE else SHORT_VALUE_BYTES
    caller = rig.fakes.Caller(front.address)
    fleet.record.write(f"client sends big-1, with a header of {size} bytes")
    status, _, _, _ = await caller.call(
        "GET", "/check/x", {"Host": "a.example", "Attempt-Id": "big-1",
                            "Deadline-Ms": "1500",
                            "Authorization": "Bearer key-acme",
                            "X-Context": "a" * size})
    fleet.record.write(f"client of big-1 gets {status or 'no answer'}")
    caller.close()


async def main():
    runners = [rig.fakes.Endpoint(f"i-desk{at}", "desk", None, 8, at)
               for at in range(3)]
    for runner in runners:
        runner.work_s = (0.3, 0.4)
    fleet = rig.Fleet(FOLDER, runners)
    config = rig.configuration(
        [rig.route("book", "unsafe", "desk"),
         rig.route("check", "safe", "desk")], [rig.plain_service("desk")])
    config["limits"]["maxHeaderBytes"] = MAX_HEADER_BYTES
    try:
        await fleet.start(config)
        front = fleet.fronts[0]
        await asyncio.sleep(4)  # Longer than stableWindowMs: it is in touch.
        callers = [rig.fakes.Caller(front.address) for _ in range(CALLERS)]
        first = await asyncio.gather(*(
            call(fleet, caller, f"first-{at}")
            for at, caller in enumerate(callers)))
        if not all(first):
            return rig.CANNOT_RUN
        kept = [caller for caller in callers if caller.writer is not None]
        waiting = asyncio.gather(*(
            call(fleet, caller, f"second-{at}")
            for at, caller in enumerate(kept)))
        await asyncio.sleep(0.15)
        await send_header(fleet, front)
        answered = await waiting
        runs = {attempt for runner in runners
                for attempt, _ in runner.started_runs}
        for attempt in sorted(runs):
            fleet.record.write(f"a runner runs {attempt}")
        lost = [at for at, is_answered in enumerate(answered)
                if not is_answered and f"second-{at}" in runs]
        if not front.is_running():
            fleet.record.write(f"{front.name} has ended by itself with status "
                               f"{front.process.returncode}")
        fleet.record.write(
            f"{len(lost)} requests of kept connections were passed on to sound "
            f"runners and got no answer; the rule allows {MAX_LOST}")
        return rig.BROKEN if len(lost) > MAX_LOST else rig.HOLDS
    finally:
        await fleet.stop()


rig.run_case(main)
