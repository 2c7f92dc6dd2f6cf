#!/usr/bin/env python3
"""Tests of tests/harness/touch.py: the users' definition of "in touch"."""

import os
import sys
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "harness"))
from touch import History  # noqa: E402

MEMBERS = ("m1", "m2", "m3")


def calm_history():
    out = History()
    for member in MEMBERS:
        out.add_member(member, 0.0)
    return out


def cut_off(history, member, at):
    for other in MEMBERS:
        if other != member:
            history.cut(member, other, at)
            history.cut(other, member, at)


class InTouch(unittest.TestCase):
    def test_calm_host_is_in_touch(self):
        self.assertTrue(calm_history().is_in_touch("h", 10.0))

    def test_core_is_unstable_for_the_window_after_a_restart(self):
        history = calm_history()
        history.go_down("m1", 10.0)
        history.come_up("m1", 11.0)
        self.assertFalse(history.is_in_touch("h", 13.9))
        self.assertTrue(history.is_in_touch("h", 14.1))

    def test_core_without_a_majority_is_unstable(self):
        history = calm_history()
        history.go_down("m1", 10.0)
        history.go_down("m2", 10.0)
        self.assertFalse(history.is_in_touch("h", 20.0))

    def test_member_that_is_cut_off_need_not_be_reached(self):
        history = calm_history()
        cut_off(history, "m3", 10.0)
        history.cut("h", "m3", 10.0)
        self.assertFalse(history.is_in_touch("h", 12.0))
        self.assertTrue(history.is_in_touch("h", 13.1))

    def test_one_direction_to_a_member_that_counts_is_a_cut(self):
        history = calm_history()
        history.cut("m1", "h", 10.0)
        self.assertFalse(history.is_in_touch("h", 20.0))
        history.heal("m1", "h", 20.0)
        self.assertFalse(history.is_in_touch("h", 22.9))
        self.assertTrue(history.is_in_touch("h", 23.1))

    def test_host_that_restarted_is_out_of_touch_for_the_window(self):
        history = calm_history()
        history.go_down("h", 10.0)
        history.come_up("h", 10.5)
        self.assertFalse(history.is_in_touch("h", 13.4))
        self.assertTrue(history.is_in_touch("h", 13.6))

    def test_harmed_links_count(self):
        history = calm_history()
        history.harm({"h"}, 10.0, 12.0)
        self.assertFalse(history.is_in_touch("h", 14.9))
        self.assertTrue(history.is_in_touch("h", 15.1))

    def test_replaced_member_no_longer_counts(self):
        history = calm_history()
        history.add_member("m4", 10.0)
        history.remove_member("m1", 12.0)
        history.go_down("m1", 12.0)
        self.assertTrue(history.is_in_touch("h", 15.1))
        self.assertEqual(history.members(15.1), {"m2", "m3", "m4"})


class Bound(unittest.TestCase):
    def test_bound_of_a_host_in_touch(self):
        history = calm_history()
        self.assertFalse(history.must_have("h", 10.0, 12.0))
        self.assertTrue(history.must_have("h", 10.0, 12.1))

    def test_unstable_core_stretches_the_bound(self):
        history = calm_history()
        for at in range(10, 20):
            history.go_down("m1", at)
            history.come_up("m1", at + 0.5)
        self.assertFalse(history.must_have("h", 11.0, 17.9))
        self.assertTrue(history.must_have("h", 11.0, 18.1))

    def test_acknowledgement_is_due_after_a_calm_stretch(self):
        history = calm_history()
        self.assertFalse(history.must_be_acknowledged(10.0, 14.0))
        self.assertTrue(history.must_be_acknowledged(10.0, 14.3))
        history.cut("m1", "h", 12.0)
        history.heal("m1", "h", 13.0)
        self.assertFalse(history.must_be_acknowledged(10.0, 17.0))
        self.assertTrue(history.must_be_acknowledged(10.0, 17.4))

    def test_no_bound_while_most_of_the_core_does_not_run(self):
        history = calm_history()
        history.go_down("m1", 10.0)
        history.go_down("m2", 10.0)
        history.come_up("m1", 17.0)
        self.assertFalse(history.must_have("h", 9.0, 18.0))


if __name__ == "__main__":
    unittest.main()
