"""Compares scheduling policies on fleets of real processes.

measure.py --shape association --policies reserve_first,round_robin
           --loads 0.5,1.0,1.2,2.0 --seconds 20 --seed 1 [--scenario NAME]
"""

import argparse
import json
import pathlib
import statistics
import subprocess
import sys
import threading
import time

sys.path.insert(
    0, str(pathlib.Path(__file__).resolve().parent.parent / "harness"))
import fleet as fleets
from fleet import BUILD, Fleet, http_json, wait_until

# Requests per second that one decode engine of the fakes sustains: 20
# concurrent requests of two memory pieces each, 12 s per request (300 tokens
# at 40 ms). The prefill of a long prompt takes 0.6 s, like about 15 tokens.
REQUESTS_PER_S_PER_DECODE_ENGINE = 20 / 12
OUTPUT_TOKENS = 400
PLAIN_REQUESTS_PER_SECOND = 20
ENGINE_OPTIONS = ["--prefill-us", "110", "--step-us", "20000",
                  "--step-us-per-request", "1000", "--lag-ms", "200"]
BATCH_FIRST_TOKEN_MS = 3000
INTERACTIVE_FIRST_TOKEN_MS = 450
INTERACTIVE_BETWEEN_TOKENS_MS = 69
BATCH_BETWEEN_TOKENS_MS = 200
WARM_UP_SECONDS = 15
# Shares of the five accounts in the model's load: a few are large.
ACCOUNT_SHARES = (0.4, 0.25, 0.2, 0.1, 0.05)


class MeasuredFleet(Fleet):
    """A fleet whose short prompts are interactive and long ones batch."""

    def configuration(self):
        text = super().configuration()
        name = self.shape.model[0]
        text = text.replace(
            f"[service {name}]\nkind = model\n",
            f"[service {name}]\nkind = model\n"
            f"batch_first_token_ms = {BATCH_FIRST_TOKEN_MS}\n"
            f"batch_between_tokens_ms = {BATCH_BETWEEN_TOKENS_MS}\n"
            f"first_token_ms = {INTERACTIVE_FIRST_TOKEN_MS}\n"
            f"between_tokens_ms = {INTERACTIVE_BETWEEN_TOKENS_MS}\n")
        return text.replace(
            f"path = /v1/completions\nservice = {name}\nclass = batch",
            f"path = /v1/completions\nservice = {name}\nclass = interactive")


def make_shape(name, policy, first_port):
    maker = getattr(fleets, name)
    shape = maker(first_port, policy=policy, engine_options=ENGINE_OPTIONS,
                  capacity=40)
    # The limits are well above the load of each account, so that scheduling
    # is what is measured; only the flood scenario reaches them.
    tokens = decode_engines(shape) * REQUESTS_PER_S_PER_DECODE_ENGINE * 4200
    shape.accounts = {
        account: (int(tokens * account_share * 3),
                  int(tokens * account_share * 12))
        for account, account_share in zip(shape.accounts, ACCOUNT_SHARES)}
    return shape


def decode_engines(shape):
    """Returns the number of decode engines that the questionnaire assigns."""
    total = 0
    for count in shape.model[1].values():
        total += count if count == 1 else count - max((count + 1) // 3, 1)
    return total


def flows(fleet, load, scenario):
    """Returns the mix: long and short prompts, bookings, status checks."""
    capacity = REQUESTS_PER_S_PER_DECODE_ENGINE * decode_engines(fleet.shape)
    out = []
    for account_share, (account, key) in zip(ACCOUNT_SHARES,
                                             fleet.keys.items()):
        factor = 1.0
        if scenario == "flood" and account == list(fleet.keys)[-1]:
            factor = 10.0
        burst = 3.0 if scenario == "bursty" else 1.0
        for kind, share in (("long", 0.7), ("short", 0.3)):
            out.append({"account": account, "key": key, "kind": kind,
                        "per_second": (capacity * load * account_share
                                       * share * factor),
                        "burst_factor": burst})
        for kind in ("book", "look"):
            out.append({"account": account, "key": key, "kind": kind,
                        "per_second": (PLAIN_REQUESTS_PER_SECOND
                                       * account_share / 2)})
    return out


def run_load(fleet, load, seconds, seed, scenario, disturb=None):
    """Runs one load; returns a record for each request."""
    plan = {
        "hosts": [f"127.0.0.1:{host['client']}"
                  for host in fleet.hosts.values()],
        "model": fleet.shape.model[0],
        "change_path": fleet.shape.plain[2],
        "read_path": fleet.shape.plain[3],
        "span_ms": int(seconds * 1000), "seed": seed,
        "output": OUTPUT_TOKENS,
        "flows": flows(fleet, load, scenario)}
    process = subprocess.Popen(
        [BUILD / "tests" / "load"], stdin=subprocess.PIPE,
        stdout=subprocess.PIPE, text=True)
    if disturb is not None:
        threading.Thread(target=disturb, args=(fleet, seconds),
                         daemon=True).start()
    output, _ = process.communicate(json.dumps(plan), timeout=seconds + 120)
    return [json.loads(line) for line in output.splitlines()]


def take_zone_out(fleet, seconds):
    """Takes a zone out of service in the middle third of the run."""
    zone = list(fleet.shape.zones)[1]
    time.sleep(seconds / 3)
    fleet.ctl("zone", "out", zone, "--wait-ms", "0", check=False)
    time.sleep(seconds / 3)
    fleet.ctl("zone", "in", zone, "--wait-ms", "0", check=False)


def partition_zone(fleet, seconds):
    zone = list(fleet.shape.zones)[1]
    time.sleep(seconds / 3)
    fleet.partition_zone(zone, True)
    time.sleep(seconds / 3)
    fleet.partition_zone(zone, False)


def restart_engine_cold(fleet, seconds):
    time.sleep(seconds / 3)
    name = [name for name, item in fleet.endpoints.items()
            if item["kind"] == "model"][1]
    fleet.kill(name)
    fleet.wait_for_exit(name)
    fleet.restart(name)


def kill_host(fleet, seconds):
    time.sleep(seconds / 3)
    name = list(fleet.hosts)[1]
    fleet.kill(name)
    fleet.wait_for_exit(name)
    time.sleep(2)
    fleet.restart(name)


DISTURBANCES = {"zone_change": take_zone_out, "zone_cut": partition_zone,
                "cold_engine": restart_engine_cold, "host_killed": kill_host}


def percentile(values, quantile):
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * quantile), len(ordered) - 1)]


def is_good(record):
    """Returns whether a response was complete and met its latency targets."""
    if record["kind"] in ("book", "look"):
        return record["status"] == 200 and record["took_ms"] <= 1000
    interactive = record["kind"] == "short"
    first = INTERACTIVE_FIRST_TOKEN_MS if interactive else BATCH_FIRST_TOKEN_MS
    between = (INTERACTIVE_BETWEEN_TOKENS_MS if interactive
               else BATCH_BETWEEN_TOKENS_MS)
    return bool(record["status"] == 200 and record.get("done")
                and record["first_ms"] <= first
                and record["between_ms"] <= between)


def worst_fairness(model, seconds):
    """Returns the lowest ratio of an account's goodput to its fair share: its
    part in the total goodput under max-min fairness."""
    demand, good = {}, {}
    for record in model:
        account = record["account"]
        demand[account] = demand.get(account, 0) + 1
        good[account] = good.get(account, 0) + is_good(record)
    left, fair, open_accounts = sum(good.values()), {}, set(demand)
    while open_accounts:
        level = left / len(open_accounts)
        small = {name for name in open_accounts if demand[name] <= level}
        if not small:
            for name in open_accounts:
                fair[name] = level
            break
        for name in small:
            fair[name] = demand[name]
            left -= demand[name]
        open_accounts -= small
    return min(good[name] / fair[name] for name in fair if fair[name] > 0)


def summarise(fleet, records, before, after, seconds):
    model = [item for item in records if item["kind"] in ("long", "short")]
    plain = [item for item in records if item["kind"] in ("book", "look")]
    first = [item["first_ms"] for item in model if item.get("tokens")]
    short_first = [item["first_ms"] for item in model
                   if item.get("tokens") and item["kind"] == "short"]
    between = [item["between_ms"] for item in model
               if item.get("tokens", 0) > 1]

    def increase(field):
        return sum(item.get(field, 0) - before.get(name, {}).get(field, 0)
                   if before.get(name, {}).get("boot") == item.get("boot")
                   else item.get(field, 0) for name, item in after.items())
    prefills, decodes = increase("prefills"), increase("decodes")
    over_rate = [item for item in records if item["status"] == 429]
    refused = [item for item in records if item["status"] == 503]
    broken = [item for item in records if item["status"] in (0, 502)
              or (item["status"] == 200 and item.get("done") is False)]
    return {
        "offered_per_s": len(model) / seconds,
        "goodput_per_s": sum(map(is_good, model)) / seconds,
        "wasted_prefill": (prefills - decodes) / prefills if prefills else 0,
        "worst_fair_share": worst_fairness(model, seconds),
        "rate_refusals": len(over_rate) / len(records),
        "refused": len(refused) / len(records),
        "broken": len(broken) / len(records),
        "plain_good": sum(map(is_good, plain)) / max(len(plain), 1),
        "first_p50_ms": percentile(first, 0.5),
        "first_p95_ms": percentile(first, 0.95),
        "short_first_p95_ms": percentile(short_first, 0.95),
        "between_p95_ms": percentile(between, 0.95),
        "plain_p50_ms": percentile([item["took_ms"] for item in plain], 0.5),
        "plain_p99_ms": percentile([item["took_ms"] for item in plain], 0.99),
    }


def warm_up(fleet):
    """Sends load until the engines' request windows are fully open."""
    run_load(fleet, 0.6, WARM_UP_SECONDS, 99, "steady")


def measure(shape_name, policies, loads, seconds, seed, scenario, repeats,
            first_port):
    rows = []
    for policy in policies:
        fleet = MeasuredFleet(make_shape(shape_name, policy, first_port),
                              torture=True)
        try:
            fleet.start()
            warm_up(fleet)
            for load in loads:
                for repeat in range(repeats):
                    before = fleet.endpoint_stats()
                    records = run_load(fleet, load, seconds, seed + repeat,
                                       scenario, DISTURBANCES.get(scenario))
                    after = fleet.endpoint_stats()
                    row = {"policy": policy, "load": load,
                           "scenario": scenario, "seed": seed + repeat}
                    row.update(summarise(fleet, records, before, after,
                                         seconds))
                    rows.append(row)
                    print(json.dumps(row), file=sys.stderr, flush=True)
                    wait_until(lambda: fleet.count_held_requests() == 0,
                               "engines to release all memory", 60)
        finally:
            fleet.stop(graceful=False)
    return rows


def median_rows(rows):
    """Returns a row per policy and load, with the medians over the repeats."""
    groups = {}
    for row in rows:
        groups.setdefault((row["policy"], row["load"]), []).append(row)
    out = []
    for (policy, load), group in groups.items():
        merged = {"policy": policy, "load": load,
                  "scenario": group[0]["scenario"], "runs": len(group)}
        for key, value in group[0].items():
            if key not in merged and key != "seed":
                merged[key] = statistics.median(item[key] for item in group)
        out.append(merged)
    return out


COLUMNS = (("goodput_per_s", "goodput/s", "{:.1f}"),
           ("wasted_prefill", "wasted", "{:.1%}"),
           ("worst_fair_share", "worst fair", "{:.2f}"),
           ("rate_refusals", "429", "{:.2%}"),
           ("refused", "503", "{:.1%}"),
           ("broken", "broken", "{:.2%}"),
           ("plain_good", "plain good", "{:.1%}"),
           ("first_p50_ms", "TTFT p50", "{:.0f}"),
           ("short_first_p95_ms", "short TTFT p95", "{:.0f}"),
           ("between_p95_ms", "ITL p95", "{:.0f}"),
           ("plain_p50_ms", "plain p50", "{:.1f}"))


def format_table(rows):
    lines = ["| policy | load | offered/s | "
             + " | ".join(title for _, title, _ in COLUMNS) + " |",
             "|---" * (len(COLUMNS) + 3) + "|"]
    for row in rows:
        cells = [cell_format.format(row[key])
                 for key, _, cell_format in COLUMNS]
        lines.append(f"| {row['policy']} | {row['load']} | "
                     f"{row['offered_per_s']:.1f} | " + " | ".join(cells)
                     + " |")
    return "\n".join(lines)


def format_svg(rows):
    """Returns an SVG chart of goodput over load with a line per policy."""
    width, height, margin = 640, 360, 50
    max_load = max(row["load"] for row in rows)
    max_goodput = max(max(row["goodput_per_s"] for row in rows), 1)
    colours = ("#206a5d", "#c4432b", "#3759a8", "#b07d1a")
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {width} '
           f'{height}" font-family="sans-serif" font-size="12">',
           f'<rect width="{width}" height="{height}" fill="white"/>',
           f'<text x="{width / 2}" y="20" text-anchor="middle">Goodput '
           'within latency targets, requests per second</text>']
    for policy, colour, line in zip(
            dict.fromkeys(row["policy"] for row in rows), colours, range(9)):
        points = [(margin + row["load"] / max_load * (width - 2 * margin),
                   height - margin - row["goodput_per_s"] / max_goodput
                   * (height - 2 * margin))
                  for row in rows if row["policy"] == policy]
        path = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
        out.append(f'<polyline points="{path}" fill="none" '
                   f'stroke="{colour}" stroke-width="2"/>')
        out.append(f'<text x="{margin + 10}" y="{45 + 16 * line}" '
                   f'fill="{colour}">{policy}</text>')
    for load in sorted({row["load"] for row in rows}):
        x = margin + load / max_load * (width - 2 * margin)
        out.append(f'<text x="{x:.1f}" y="{height - margin + 20}" '
                   f'text-anchor="middle">{load}</text>')
    out.append(f'<text x="{width / 2}" y="{height - 8}" '
               'text-anchor="middle">load relative to capacity</text>')
    out.append(f'<text x="8" y="{margin}">{max_goodput:.0f}</text></svg>')
    return "\n".join(out)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--shape", default="association")
    parser.add_argument("--policies",
                        default="reserve_first,round_robin,least_loaded,"
                                "prefill_first")
    parser.add_argument("--loads", default="0.5,1.0,1.2,1.5,2.0")
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--repeats", type=int, default=1)
    parser.add_argument("--scenario", default="steady",
                        choices=["steady", "bursty", "flood"]
                        + list(DISTURBANCES))
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--json", default="")
    parser.add_argument("--svg", default="")
    parser.add_argument("--first-port", type=int, default=24000)
    given = parser.parse_args()
    if given.quick:
        given.policies, given.loads = "reserve_first,least_loaded", "1.2"
    rows = median_rows(measure(
        given.shape, given.policies.split(","),
        [float(load) for load in given.loads.split(",")],
        given.seconds, given.seed, given.scenario, given.repeats,
        given.first_port))
    print(format_table(rows))
    if given.json:
        pathlib.Path(given.json).write_text(json.dumps(rows, indent=1))
    if given.svg:
        pathlib.Path(given.svg).write_text(format_svg(rows))


if __name__ == "__main__":
    main()
