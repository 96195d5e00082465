#!/usr/bin/env python3
"""Counts over a fleet what its balancers decided: decisions.py FOLDER-OF-LOGS [TIER]

The logs are those of a build with decisions.patch beside this file applied (git apply), which prints one line a decision; such a
build is not kept. By server: outcomes, and failures by second; by second: dispatches, denied and given up; by tier: home or abroad.
"""
import collections
import glob
import os
import re
import sys


def lines(folder):
    for name in sorted(glob.glob(os.path.join(folder, "*.log"))):
        tier = None
        for line in open(name, errors="replace"):
            serving = re.search(r"serving .*tier=(\d+)", line)
            tier = int(serving.group(1)) if serving else tier
            found = re.search(r"\bP (arrive|send|end|giveup) (.*)", line)
            if found:
                yield tier, found.group(1), dict(p.split("=", 1) for p in found.group(2).split() if "=" in p)


def main(folder, wanted):
    seen = [x for x in lines(folder) if x[0] == wanted]
    if not seen:
        sys.exit("no decisions of tier %d in %s" % (wanted, folder))
    start = min(int(v["t"]) for _, _, v in seen)
    outcomes = collections.defaultdict(collections.Counter)
    failures = collections.defaultdict(collections.Counter)
    seconds = collections.defaultdict(collections.Counter)
    places = collections.Counter()
    for _, kind, v in seen:
        second = (int(v["t"]) - start) // 1000
        seconds[second][kind] += 1
        if kind == "send":
            places["home" if v["home"] == "true" else "abroad"] += 1
            seconds[second]["cold"] += v["cold"] == "true"
        elif kind == "arrive":
            seconds[second]["denied"] += v["admit"] == "false"
        elif kind == "end":
            server = v["s"] + " " + v["zone"]
            outcomes[server][v["how"]] += 1
            if v["how"] != "OK":
                failures[server][second] += 1
    print("tier", wanted, dict(places))
    for server in sorted(outcomes):
        print(server, dict(outcomes[server]), "failures by second", dict(sorted(failures[server].items())))
    for second in sorted(seconds):
        print("%3d s" % second, dict(sorted(seconds[second].items())))


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    main(sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 0)
