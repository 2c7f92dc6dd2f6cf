"""Measures policies beside each other on real processes.

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

# What one decode engine of the fakes bears and how long a request stays:
# 20 requests of two memory pieces, 300 tokens at 40 ms. A long prompt's
# prefill takes 0.6 s, as long as some 15 tokens.
CAPACITY_PER_DECODE_ENGINE = 20 / 12
OUTPUT_TOKENS = 400
PLAIN_PER_SECOND = 20
ENGINE_OPTIONS = ["--prefill-us", "110", "--step-us", "20000",
                  "--step-us-per-request", "1000", "--lag-ms", "200"]
BATCH_FIRST_MS = 3000
INTERACTIVE_FIRST_MS = 450
INTERACTIVE_BETWEEN_MS = 69
BATCH_BETWEEN_MS = 200
WARM_UP_SECONDS = 15
# How the model's load is shared by the five accounts: a few are large.
PARTS = (0.4, 0.25, 0.2, 0.1, 0.05)


class MeasuredFleet(Fleet):
    """A fleet whose short prompts are interactive and long ones batch."""

    def configuration(self):
        text = super().configuration()
        name = self.shape.model[0]
        text = text.replace(
            f"[service {name}]\nkind = model\n",
            f"[service {name}]\nkind = model\n"
            f"batch_first_token_ms = {BATCH_FIRST_MS}\n"
            f"batch_between_tokens_ms = {BATCH_BETWEEN_MS}\n"
            f"first_token_ms = {INTERACTIVE_FIRST_MS}\n"
            f"between_tokens_ms = {INTERACTIVE_BETWEEN_MS}\n")
        return text.replace(
            f"path = /v1/completions\nservice = {name}\nclass = batch",
            f"path = /v1/completions\nservice = {name}\nclass = interactive")


def make_shape(name, policy, first_port):
    maker = getattr(fleets, name)
    shape = maker(first_port, policy=policy, engine_options=ENGINE_OPTIONS,
                  capacity=40)
    # Limits stand well above what each account offers, so that what is
    # measured is the scheduling; the flood scenario runs into them.
    tokens = decode_engines(shape) * CAPACITY_PER_DECODE_ENGINE * 4200
    shape.accounts = {
        account: (int(tokens * part * 3), int(tokens * part * 12))
        for account, part in zip(shape.accounts, PARTS)}
    return shape


def decode_engines(shape):
    """Engines that decode, as the questionnaire splits each zone's."""
    total = 0
    for count in shape.model[1].values():
        total += count if count == 1 else count - max((count + 1) // 3, 1)
    return total


def flows(fleet, load, scenario):
    """The mix: long dossiers, short prompts, bookings and status checks."""
    capacity = CAPACITY_PER_DECODE_ENGINE * decode_engines(fleet.shape)
    out = []
    for part, (account, key) in zip(PARTS, fleet.keys.items()):
        factor = 1.0
        if scenario == "flood" and account == list(fleet.keys)[-1]:
            factor = 10.0
        burst = 3.0 if scenario == "bursty" else 1.0
        for kind, share in (("long", 0.7), ("short", 0.3)):
            out.append({"account": account, "key": key, "kind": kind,
                        "per_second": capacity * load * part * share * factor,
                        "burst_factor": burst})
        for kind in ("book", "look"):
            out.append({"account": account, "key": key, "kind": kind,
                        "per_second": PLAIN_PER_SECOND * part / 2})
    return out


def run_load(fleet, load, seconds, seed, scenario, disturb=None):
    """Runs one load; returns the records of its requests."""
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
    """An availability zone leaves for the middle third."""
    zone = list(fleet.shape.zones)[1]
    time.sleep(seconds / 3)
    fleet.ctl("zone", "out", zone, "--wait-ms", "0", check=False)
    time.sleep(seconds / 3)
    fleet.ctl("zone", "in", zone, "--wait-ms", "0", check=False)


def cut_zone(fleet, seconds):
    zone = list(fleet.shape.zones)[1]
    time.sleep(seconds / 3)
    fleet.cut_zone(zone, True)
    time.sleep(seconds / 3)
    fleet.cut_zone(zone, False)


def cool_engine(fleet, seconds):
    time.sleep(seconds / 3)
    name = [name for name, item in fleet.endpoints.items()
            if item["kind"] == "model"][1]
    fleet.kill(name)
    fleet.wait_end(name)
    fleet.restart(name)


def kill_host(fleet, seconds):
    time.sleep(seconds / 3)
    name = list(fleet.hosts)[1]
    fleet.kill(name)
    fleet.wait_end(name)
    time.sleep(2)
    fleet.restart(name)


DISTURBANCES = {"zone_change": take_zone_out, "zone_cut": cut_zone,
                "cold_engine": cool_engine, "host_killed": kill_host}


def percentile(values, part):
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)]


def is_good(record):
    """Whether an answer came whole and within both latency targets."""
    if record["kind"] in ("book", "look"):
        return record["status"] == 200 and record["took_ms"] <= 1000
    interactive = record["kind"] == "short"
    first = INTERACTIVE_FIRST_MS if interactive else BATCH_FIRST_MS
    between = INTERACTIVE_BETWEEN_MS if interactive else BATCH_BETWEEN_MS
    return bool(record["status"] == 200 and record.get("done")
                and record["first_ms"] <= first
                and record["between_ms"] <= between)


def worst_fairness(model, seconds):
    """The least of goodput over fair share, where the fair share is what
    max-min fairness gives each account of all that was served."""
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

    def grown(field):
        return sum(item.get(field, 0) - before.get(name, {}).get(field, 0)
                   if before.get(name, {}).get("boot") == item.get("boot")
                   else item.get(field, 0) for name, item in after.items())
    prefills, decodes = grown("prefills"), grown("decodes")
    wrongful = [item for item in records if item["status"] == 429]
    refused = [item for item in records if item["status"] == 503]
    broken = [item for item in records if item["status"] in (0, 502)
              or (item["status"] == 200 and item.get("done") is False)]
    return {
        "offered_per_s": len(model) / seconds,
        "goodput_per_s": sum(map(is_good, model)) / seconds,
        "wasted_prefill": (prefills - decodes) / prefills if prefills else 0,
        "worst_fair_share": worst_fairness(model, seconds),
        "rate_refusals": len(wrongful) / len(records),
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
    """Sends work until the engines' windows have opened."""
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
                    wait_until(lambda: fleet.held_memory() == 0,
                               "free memory between runs", 60)
        finally:
            fleet.stop(graceful=False)
    return rows


def median_rows(rows):
    """One row per policy and load, each figure the median of its repeats."""
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


def table(rows):
    lines = ["| policy | load | offered/s | "
             + " | ".join(title for _, title, _ in COLUMNS) + " |",
             "|---" * (len(COLUMNS) + 3) + "|"]
    for row in rows:
        cells = [form.format(row[key]) for key, _, form in COLUMNS]
        lines.append(f"| {row['policy']} | {row['load']} | "
                     f"{row['offered_per_s']:.1f} | " + " | ".join(cells)
                     + " |")
    return "\n".join(lines)


def svg(rows):
    """Goodput over load, one line per policy, as a picture of its own."""
    width, height, edge = 640, 360, 50
    most_load = max(row["load"] for row in rows)
    most = max(max(row["goodput_per_s"] for row in rows), 1)
    colours = ("#206a5d", "#c4432b", "#3759a8", "#b07d1a")
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {width} '
           f'{height}" font-family="sans-serif" font-size="12">',
           f'<rect width="{width}" height="{height}" fill="white"/>',
           f'<text x="{width / 2}" y="20" text-anchor="middle">Goodput '
           'under both latency targets, requests a second</text>']
    for policy, colour, line in zip(
            dict.fromkeys(row["policy"] for row in rows), colours, range(9)):
        points = [(edge + row["load"] / most_load * (width - 2 * edge),
                   height - edge - row["goodput_per_s"] / most
                   * (height - 2 * edge))
                  for row in rows if row["policy"] == policy]
        path = " ".join(f"{x:.1f},{y:.1f}" for x, y in points)
        out.append(f'<polyline points="{path}" fill="none" '
                   f'stroke="{colour}" stroke-width="2"/>')
        out.append(f'<text x="{edge + 10}" y="{45 + 16 * line}" '
                   f'fill="{colour}">{policy}</text>')
    for load in sorted({row["load"] for row in rows}):
        x = edge + load / most_load * (width - 2 * edge)
        out.append(f'<text x="{x:.1f}" y="{height - edge + 20}" '
                   f'text-anchor="middle">{load}</text>')
    out.append(f'<text x="{width / 2}" y="{height - 8}" '
               'text-anchor="middle">load, times capacity</text>')
    out.append(f'<text x="8" y="{edge}">{most:.0f}</text></svg>')
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
    print(table(rows))
    if given.json:
        pathlib.Path(given.json).write_text(json.dumps(rows, indent=1))
    if given.svg:
        pathlib.Path(given.svg).write_text(svg(rows))


if __name__ == "__main__":
    main()
