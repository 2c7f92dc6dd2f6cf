"""Records what callers and operators did and saw, and checks it."""

import collections
import hashlib
import threading
import time

WITHDRAWAL_SECONDS = 3.0
ISSUE_SECONDS = 5.0
RATE_SLACK_SECONDS = 0.5


class History:
    """Operations with the times between which each took effect."""

    def __init__(self):
        self.operations = []
        self.lock = threading.Lock()

    def begin(self, kind, **facts):
        operation = {"kind": kind, "began": time.monotonic(), "ended": None}
        operation.update(facts)
        with self.lock:
            self.operations.append(operation)
        return operation

    def end(self, operation, **facts):
        operation.update(facts)
        operation["ended"] = time.monotonic()

    def of(self, kind):
        return [item for item in self.operations
                if item["kind"] == kind and item["ended"] is not None]

    def summary(self):
        counts = collections.Counter(
            f"{item['kind']} {item.get('status')}" for item in self.operations)
        return dict(sorted(counts.items()))


def check_versions(history, final):
    """Configuration is linearizable: accepted versions grow in real time, a
    read sees every version accepted before it began, and none is lost."""
    problems = []
    accepted = [item for item in history.of("submit")
                if item.get("version") is not None]
    versions = [item["version"] for item in accepted]
    if len(versions) != len(set(versions)):
        problems.append("a version was accepted twice")
    bases = [item["base"] for item in accepted]
    if len(bases) != len(set(bases)):
        problems.append("two operators won under one number")
    for item in accepted:
        for other in accepted:
            if (item["ended"] < other["began"]
                    and item["version"] >= other["version"]):
                problems.append("a later version has a smaller number")
    for read in history.of("read"):
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
    """Each booking ran at most once, and refusals that say so are true."""
    problems = []
    runs = collections.Counter()
    for item in stats.values():
        for ident, count in item.get("runs", {}).items():
            runs[ident] += count
    by_ident = collections.defaultdict(list)
    for item in history.of("book"):
        by_ident[item["ident"]].append(item)
    for ident, items in by_ident.items():
        if runs[ident] > 1:
            problems.append(f"{ident} ran {runs[ident]} times")
        answers = {str(item["body"]) for item in items
                   if item["status"] == 200}
        if len(answers) > 1:
            problems.append(f"{ident} got different answers: {answers}")
        if answers and runs[ident] != 1:
            problems.append(f"{ident} was answered but ran "
                            f"{runs[ident]} times")
        told_not_run = [item for item in items
                        if isinstance(item["body"], dict)
                        and item["body"].get("error", {}).get("not_run")]
        if len(told_not_run) == len(items) and runs[ident]:
            problems.append(f"{ident} ran though all its tries were told "
                            f"'not run'")
    return problems


def pick(text):
    return int(text[:12], 16)


def expected_answer(prompt, tokens):
    """What the fake engine answers, as tests/fakes/fake_engine.cpp does."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()
    length = max(tokens * (500 + pick(digest) % 500) // 1000, 1)
    words = (hashlib.sha256(f"{digest}:{at}".encode()).hexdigest()
             for at in range(length))
    return "".join(f"w{pick(word) % 10000} " for word in words)


def check_answers(history):
    """Answers are whole and the caller's own, token by token; a stream that
    ended without its end mark counts as no answer, but what came of it must
    still be the beginning of the right one."""
    problems = []
    for item in history.of("complete"):
        if item["status"] != 200:
            continue
        expected = expected_answer(item["prompt"], item["tokens"])
        if item.get("done") and item["body"] != expected:
            problems.append(f"a whole answer is wrong: {item['body'][:80]!r} "
                            f"for {expected[:80]!r}")
        if not expected.startswith(item["body"]):
            problems.append(f"a piece of an answer is wrong: "
                            f"{item['body'][:80]!r} for {expected[:80]!r}")
    return problems


def check_keys(history, fleet):
    """A withdrawn key stops working within seconds at every host."""
    problems = []
    withdrawn = {item["key"]: item["ended"]
                 for item in history.of("withdraw") if item["status"] == 0}
    for item in history.of("use"):
        gone = withdrawn.get(item["key"])
        late = gone is not None and item["began"] > gone + WITHDRAWAL_SECONDS
        if late and item["status"] == 200:
            problems.append(f"a withdrawn key still worked at {item['host']}")
    return problems


def check_rates(history, fleet):
    """No account got more than its rate and burst: every window between two
    grants is checked against the tokens its answers used."""
    problems = []
    by_account = collections.defaultdict(list)
    for item in history.of("complete"):
        if item["status"] == 200 and item.get("done"):
            prompt = (len(item["prompt"]) + 3) // 4
            used = prompt + len(item["body"].split())
            # Admission fell between the request and its answer.
            by_account[item["account"]].append(
                (item["began"], item["ended"], used))
    for account, grants in by_account.items():
        rate, burst = fleet.shape.accounts[account]
        starts = sorted(grants)
        for index, (first, _, _) in enumerate(starts):
            total = 0
            # Only grants that surely lie inside the window count.
            for began, ended, used in sorted(starts[index:],
                                             key=lambda item: item[1]):
                total += used
                span = ended - first
                if total > burst + rate * (span + RATE_SLACK_SECONDS):
                    problems.append(
                        f"{account} got {total} tokens in {span:.2f} s")
                    return problems
    return problems


def check_good_keys(history):
    """A key that is issued works everywhere within seconds, and goes on
    working through restarts: no host falls back to a version without it."""
    began = min((item["began"] for item in history.operations), default=0)
    problems = []
    for kind in ("book", "complete"):
        for item in history.of(kind):
            late = item["began"] > began + ISSUE_SECONDS
            if late and item["status"] == 401:
                problems.append(f"a valid key was refused at "
                                f"{item['began'] - began:.1f} s")
    return problems[:3]


def check_keys_hidden(stats):
    return [f"{name} saw a caller's key" for name, item in stats.items()
            if item.get("saw_key")]


def check_in_force(status):
    missing = status["fleet"].get("unconfirmed", [])
    return [f"not in force at {missing}"] if missing else []


def check_all(history, fleet, stats, status, final, fallen):
    """Runs every check; returns what is broken, each once."""
    problems = (check_versions(history, final)
                + check_bookings(history, stats)
                + check_answers(history)
                + check_keys(history, fleet)
                + check_rates(history, fleet)
                + check_good_keys(history)
                + check_keys_hidden(stats))
    if fallen:
        problems.append(f"fell over in cold start: {fallen}")
    return list(dict.fromkeys(problems))
