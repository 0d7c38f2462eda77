#!/usr/bin/env python3
"""Where the tokens of a day went: by customer, by death of boxes, and what was refused at the end.

Usage: where_went.py FILE

FILE holds the log lines of all boxes (`fleetbench run SITE DAY --log all > FILE`): a time in seconds, the
box's name and a JSON line each. All figures are tokens, unless they say otherwise.

lost is what the book counts as spent because its holder died. Of it, `used` had been used and not settled;
the rest is what was free: `kept` for outages, `open` (granted and promised to nobody), `ahead` (passed on by
keepers, free in other boxes), each as the boxes logged it within the second before they died, and `held` by
requests under way, of which nobody knows how much was used.
"""
import collections, json, re, sys

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*)")
# Deaths within so many seconds are one event.
TOGETHER_S = 2.0


def lines(path):
    for text in open(path, errors="replace"):
        match = LINE.match(text)
        if not match:
            continue
        try:
            yield float(match[1]), match[2], json.loads(match[3])
        except ValueError:
            continue


def parts(text):
    """What a box holds: customer to (kept, open, of keepers, reserved, unsettled, passed)."""
    items = (item.split() for item in text.split(", "))
    return {item[0]: [int(n) for n in item[1:]] for item in items}


def main(path):
    paid, spent, left, lost = ({} for _ in range(4))
    answered, other = collections.Counter(), collections.Counter()
    last, held, deaths, known = {}, {}, [], []
    refused = []
    losses = []
    outages = []
    for at, box, event in lines(path):
        kind = event.get("event")
        customer = event.get("customer")
        if kind == "started":
            if box in last:
                if not deaths or last[box] - deaths[-1]["at"] > TOGETHER_S:
                    deaths.append({"at": last[box], "back": at, "boxes": {}})
                deaths[-1]["boxes"][box] = held.get(box, {})
                deaths[-1]["back"] = at
            held[box] = {}
        elif kind == "stopped" or kind == "funds_returned":
            held[box] = {}
        elif kind == "funds_held":
            held[box] = parts(event["held"])
        elif kind == "settled":
            if event["lost"] > lost.get(customer, 0):
                losses.append((at, customer, event["lost"] - lost.get(customer, 0)))
            lost[customer] = max(event["lost"], lost.get(customer, 0))
            spent[customer] = max(event["used"], spent.get(customer, 0))
            paid[customer] = event["unspent"] + event["used"] + event["lost"]
            left[customer] = event["left"]
        elif kind == "request_ended" and customer:
            (answered if event["outcome"] == "answered" else other)[customer] += event["charged"]
            if event["reason"] in ("tokens_short", "budget_exhausted"):
                size = re.search(r"(?:for|hold) (\d+)", event["detail"])
                refused.append((at, event["route"], int(size[1]) if size else 0))
        elif kind == "dependency_lost" and event.get("what") == "book":
            outages.append((at, box))
        last[box] = at

    print("By customer, at the end of the day")
    head = ("customer", "paid", "answered", "not answered", "lost", "of it used", "left in book")
    print("".join(f"{name:>14}" for name in head))
    total = [0] * 6
    for name in sorted(paid, key=paid.get, reverse=True):
        late = min(lost[name], max(0, answered[name] + other[name] - spent[name]))
        row = [paid[name], answered[name], other[name], lost[name], late, left[name]]
        total = [a + b for a, b in zip(total, row)]
        print(f"{name:>14}" + "".join(f"{n:14,}" for n in row))
    print(f"{'all':>14}" + "".join(f"{n:14,}" for n in total))
    if total[0]:
        print(f"{'in 100 of paid':>14}" + "".join(f"{100 * n / total[0]:14.1f}" for n in total))

    print("\nBy death (of all that was paid so far; what the boxes held in the second before)")
    head = ("at", "back", "boxes", "kept", "open", "ahead", "held", "unsettled", "lost by book")
    print("".join(f"{name:>13}" for name in head))
    for n, death in enumerate(deaths):
        sums = [0] * 6
        for box in death["boxes"].values():
            for values in box.values():
                sums = [a + b for a, b in zip(sums, values)]
        until = deaths[n + 1]["at"] if n + 1 < len(deaths) else float("inf")
        gone = sum(tokens for at, _, tokens in losses if death["at"] < at <= until)
        kept, opened, ahead, reserved, unsettled, _ = sums
        row = [kept, opened, ahead, reserved, unsettled, gone]
        print(f"{death['at']:13.2f}{death['back']:13.2f}{len(death['boxes']):13}" + "".join(f"{v:13,}" for v in row))

    if deaths:
        back = deaths[-1]["back"]
        print(f"\nRefused for want of tokens after {back:.2f} s, by route: requests, mean size, largest")
        by = collections.defaultdict(list)
        for at, route, size in refused:
            if at > back:
                by[route].append(size)
        for route, sizes in sorted(by.items(), key=lambda item: -len(item[1])):
            print(f"{route:>14}{len(sizes):8}{sum(sizes) // len(sizes):8,}{max(sizes):8,}")


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    main(sys.argv[1])
