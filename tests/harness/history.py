"""Records the operations of callers and operators, and checks the results."""

import collections
import hashlib
import threading
import time

WITHDRAWAL_SECONDS = 3.0
ISSUE_SECONDS = 5.0
RATE_SLACK_SECONDS = 0.5


class History:
    """Operations, each with the two times between which it took effect."""

    def __init__(self):
        self.operations = []
        self.lock = threading.Lock()

    def begin(self, kind, **fields):
        operation = {"kind": kind, "began": time.monotonic(), "ended": None}
        operation.update(fields)
        with self.lock:
            self.operations.append(operation)
        return operation

    def end(self, operation, **fields):
        operation.update(fields)
        operation["ended"] = time.monotonic()

    def completed(self, kind):
        return [item for item in self.operations
                if item["kind"] == kind and item["ended"] is not None]

    def summary(self):
        counts = collections.Counter(
            f"{item['kind']} {item.get('status')}" for item in self.operations)
        return dict(sorted(counts.items()))


def check_versions(history, final):
    """Configuration is linearizable: accepted versions grow in real time, a
    read returns a version at least as new as every version accepted before it
    began, and none is lost."""
    problems = []
    accepted = [item for item in history.completed("submit")
                if item.get("version") is not None]
    versions = [item["version"] for item in accepted]
    if len(versions) != len(set(versions)):
        problems.append("a version was accepted twice")
    bases = [item["base"] for item in accepted]
    if len(bases) != len(set(bases)):
        problems.append(
            "two configurations on the same base version were accepted")
    for item in accepted:
        for other in accepted:
            if (item["ended"] < other["began"]
                    and item["version"] >= other["version"]):
                problems.append("a version submitted later is not higher")
    for read in history.completed("read"):
        if read.get("version") is None:
            continue
        for item in accepted:
            if (item["ended"] < read["began"]
                    and read["version"] < item["version"]):
                problems.append(f"a read of {read['version']} missed version "
                                f"{item['version']}")
    if versions and final["version"] < max(versions):
        problems.append("an accepted version was lost")
    return problems


def check_bookings(history, stats):
    """Each booking ran at most once, and none ran if all its responses said
    that it did not."""
    problems = []
    runs = collections.Counter()
    for item in stats.values():
        for booking_id, count in item.get("runs", {}).items():
            runs[booking_id] += count
    by_booking_id = collections.defaultdict(list)
    for item in history.completed("book"):
        by_booking_id[item["booking_id"]].append(item)
    for booking_id, items in by_booking_id.items():
        if runs[booking_id] > 1:
            problems.append(f"{booking_id} ran {runs[booking_id]} times")
        responses = {str(item["body"]) for item in items
                     if item["status"] == 200}
        if len(responses) > 1:
            problems.append(
                f"{booking_id} got different responses: {responses}")
        if responses and runs[booking_id] != 1:
            problems.append(f"{booking_id} was answered but ran "
                            f"{runs[booking_id]} times")
        replies_not_run = [item for item in items
                           if isinstance(item["body"], dict)
                           and item["body"].get("error", {}).get("not_run")]
        if len(replies_not_run) == len(items) and runs[booking_id]:
            problems.append(f"{booking_id} ran although all its responses "
                            f"said 'not run'")
    return problems


def hash_number(text):
    return int(text[:12], 16)


def expected_text(prompt, tokens):
    """Returns the text that tests/fakes/fake_engine.cpp generates."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    length = max(tokens * (500 + hash_number(digest) % 500) // 1000, 1)
    words = (hashlib.sha256(f"{digest}:{at}".encode()).hexdigest()
             for at in range(length))
    return "".join(f"w{hash_number(word) % 10000} " for word in words)


def check_responses(history):
    """A complete response has exactly the text expected for its prompt. A
    stream without its end mark counts as incomplete, but what it delivered
    must be a prefix of the expected text."""
    problems = []
    for item in history.completed("complete"):
        if item["status"] != 200:
            continue
        expected = expected_text(item["prompt"], item["tokens"])
        if item.get("done") and item["body"] != expected:
            problems.append(f"a complete response is wrong: "
                            f"{item['body'][:80]!r} for {expected[:80]!r}")
        if not expected.startswith(item["body"]):
            problems.append(f"part of a response is wrong: "
                            f"{item['body'][:80]!r} for {expected[:80]!r}")
    return problems


def check_keys(history, fleet):
    """A withdrawn key stops working within seconds at every host."""
    problems = []
    withdrawn = {item["key"]: item["ended"]
                 for item in history.completed("withdraw")
                 if item["status"] == 0}
    for item in history.completed("use"):
        withdrawn_at = withdrawn.get(item["key"])
        past_deadline = (
            withdrawn_at is not None
            and item["began"] > withdrawn_at + WITHDRAWAL_SECONDS)
        if past_deadline and item["status"] == 200:
            problems.append(f"a withdrawn key still worked at {item['host']}")
    return problems


def check_rates(history, fleet):
    """No account got more than its rate and burst: for every window between
    two grants, the tokens used within it are compared with the limit."""
    problems = []
    by_account = collections.defaultdict(list)
    for item in history.completed("complete"):
        if item["status"] == 200 and item.get("done"):
            prompt = (len(item["prompt"]) + 3) // 4
            used = prompt + len(item["body"].split())
            # The request was admitted between these two times.
            by_account[item["account"]].append(
                (item["began"], item["ended"], used))
    for account, grants in by_account.items():
        rate, burst = fleet.shape.accounts[account]
        starts = sorted(grants)
        for index, (first, _, _) in enumerate(starts):
            total = 0
            # Counts only grants that certainly lie inside the window.
            for began, ended, used in sorted(starts[index:],
                                             key=lambda item: item[1]):
                total += used
                span_s = ended - first
                if total > burst + rate * (span_s + RATE_SLACK_SECONDS):
                    problems.append(
                        f"{account} got {total} tokens in {span_s:.2f} s")
                    return problems
    return problems


def check_good_keys(history):
    """An issued key works at every host within ISSUE_SECONDS, and keeps
    working through restarts: no host returns to a version without it."""
    began = min((item["began"] for item in history.operations), default=0)
    problems = []
    for kind in ("book", "complete"):
        for item in history.completed(kind):
            past_deadline = item["began"] > began + ISSUE_SECONDS
            if past_deadline and item["status"] == 401:
                problems.append(f"a valid key was refused at "
                                f"{item['began'] - began:.1f} s")
    return problems[:3]


def check_keys_hidden(stats):
    return [f"{name} saw a caller's key" for name, item in stats.items()
            if item.get("saw_key")]


def check_in_force(status):
    missing = status["fleet"].get("unconfirmed", [])
    return [f"not in force at {missing}"] if missing else []


def check_all(history, fleet, stats, status, final, overloaded):
    """Runs every check; returns the distinct problems."""
    problems = (check_versions(history, final)
                + check_bookings(history, stats)
                + check_responses(history)
                + check_keys(history, fleet)
                + check_rates(history, fleet)
                + check_good_keys(history)
                + check_keys_hidden(stats))
    if overloaded:
        problems.append(f"endpoints overloaded in cold start: {overloaded}")
    return list(dict.fromkeys(problems))
