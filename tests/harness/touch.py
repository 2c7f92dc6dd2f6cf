"""When a host of the fleet is in touch with the control group, as the users'
rules define it, from what a test did to the processes and their links.

All times are in seconds of one clock.
"""

STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
SKEW_MAX_S = 5.0
ACK_S = 4.0
SAMPLE_S = 0.1
JUST_AFTER_S = 1e-6


class History:
    """What was done to processes and links, and which hosts are members."""

    def __init__(self):
        self.member_times = {}    # host: [(from, until or None)]
        self.down_times = {}      # host: [(from, until or None)]
        self.cuts = []            # [from, until or None, source, target]
        self.harms = []           # (from, until, hosts) of other disturbances
        self.moments = set()      # Times at which anything changed.

    def add_member(self, host, at):
        self.member_times.setdefault(host, []).append([at, None])
        self.moments.add(at)

    def remove_member(self, host, at):
        self.member_times[host][-1][1] = at
        self.moments.add(at)

    def go_down(self, host, at):
        """A process ends, is told to stop, or freezes."""
        spans = self.down_times.setdefault(host, [])
        if not spans or spans[-1][1] is not None:
            spans.append([at, None])
        self.moments.add(at)

    def come_up(self, host, at):
        spans = self.down_times.get(host)
        if spans and spans[-1][1] is None:
            spans[-1][1] = at
        self.moments.add(at)

    def cut(self, source, target, at):
        self.cuts.append([at, None, source, target])
        self.moments.add(at)

    def heal(self, source, target, at):
        for item in self.cuts:
            if item[1] is None and item[2:] == [source, target]:
                item[1] = at
        self.moments.add(at)

    def harm(self, hosts, since, until):
        """Links or machines are slowed, or connections reset."""
        self.harms.append((since, until, set(hosts)))
        self.moments |= {since, until}

    def members(self, at):
        return {host for host, spans in self.member_times.items()
                if any(covers(span, at) for span in spans)}

    def is_down(self, host, at):
        return any(covers(span, at)
                   for span in self.down_times.get(host, []))

    def are_cut(self, first, second, at):
        """Whether a direction between two hosts carries nothing."""
        return any(covers(item, at) and {first, second} == set(item[2:])
                   for item in self.cuts)

    def majority_members(self, at):
        """Returns the running members that reach more than half of all."""
        members = self.members(at)
        running = {host for host in members if not self.is_down(host, at)}
        return {host for host in running if 2 * sum(
            other == host or not self.are_cut(host, other, at)
            for other in running) > len(members)}

    def moments_within(self, since, until):
        inside = [at for at in self.moments if since < at <= until]
        return [since, *[at + JUST_AFTER_S for at in inside], until]

    def core_has_majority(self, since, until):
        return all(self.majority_members(at)
                   for at in self.moments_within(since, until))

    def is_core_stable(self, at):
        since = at - STABLE_WINDOW_S
        hosts = {host for host, spans in self.member_times.items()
                 if any(overlaps(span, since, at) for span in spans)}
        changed = [edge for host in hosts
                   for span in [*self.member_times[host],
                                *self.down_times.get(host, [])]
                   for edge in span]
        changed += [edge for item in self.cuts if set(item[2:]) <= hosts
                    for edge in item[:2]]
        is_calm = not any(edge is not None and since <= edge <= at
                          for edge in changed)
        return (is_calm and bool(self.majority_members(at))
                and not self.is_harmed(hosts, since, at))

    def is_harmed(self, hosts, since, until):
        return any(start <= until and end >= since and hosts & harmed
                   for start, end, harmed in self.harms)

    def is_calm(self, at):
        """Whether the core is stable and no link is disturbed."""
        return (self.is_core_stable(at)
                and not any(covers(item, at) for item in self.cuts)
                and not any(start <= at <= end
                            for start, end, _ in self.harms))

    def must_be_acknowledged(self, sent_at, at):
        """Whether an order of the operator waited for ackMs in one stretch in
        which nothing disturbed it."""
        calm_since = None
        for step in range(int((at - sent_at) / SAMPLE_S) + 1):
            moment = sent_at + step * SAMPLE_S
            if not self.is_calm(moment):
                calm_since = None
            elif calm_since is None:
                calm_since = moment
            elif moment - calm_since > ACK_S:
                return True
        return False

    def is_reaching(self, host, at):
        """Whether a host ran undisturbed for the window before, with paths to
        all members that count."""
        since = at - STABLE_WINDOW_S
        was_down = any(overlaps(span, since, at)
                       for span in self.down_times.get(host, []))
        return (not was_down and not self.is_harmed({host}, since, at)
                and not any(self.are_cut(host, member, moment)
                            for moment in self.moments_within(since, at)
                            for member in self.majority_members(moment)))

    def is_in_touch(self, host, at):
        return self.is_reaching(host, at) and self.is_core_stable(at)

    def must_have(self, host, acknowledged_at, at):
        """Whether a request sent to a host may no longer be handled as only an
        older version allows than one acknowledged before. An unstable core
        stretches the bound as long as most of it runs, connected."""
        if at <= acknowledged_at + CONFIG_APPLY_S:
            return False
        if self.is_in_touch(host, at):
            return True
        return (at > acknowledged_at + CONFIG_APPLY_S + SKEW_MAX_S
                and self.is_reaching(host, at)
                and self.core_has_majority(acknowledged_at, at))


def covers(span, at):
    return span[0] <= at and (span[1] is None or at < span[1])


def overlaps(span, since, until):
    return span[0] <= until and (span[1] is None or span[1] >= since)
