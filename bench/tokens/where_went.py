#!/usr/bin/env python3
"""Reports where tokens went: by customer, by death of boxes, and requests refused for lack of tokens.

Usage: where_went.py FILE

FILE holds the log of all boxes (`fleetbench run SITE DAY --log all > FILE`): each line has a time in
seconds, the name of the box and a JSON object. Figures are tokens unless stated otherwise.

`lost` are tokens that the book counts as spent because their holder died. Of these, `used` were charged to
requests but not settled. The rest, as the box logged it less than a second before it died, were `kept` for
outages, `open` (granted, not promised to a witness), `ahead` (passed on by keepers, free on other boxes), or
`held` by requests in flight, whose actual usage is unknown.
"""
import collections, json, re, sys

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) (\{.*)")
# Deaths within this time of the first one are reported together.
DEATH_WINDOW_S = 2.0


def lines(path):
    """Yields time, box and fields of each log line; skips other lines."""
    for text in open(path, errors="replace"):
        match = LINE.match(text)
        if not match:
            continue
        try:
            yield float(match[1]), match[2], json.loads(match[3])
        except ValueError:
            continue


def parse_held(text):
    """Maps each customer to its (kept, open, of keepers, reserved, unsettled, passed) tokens."""
    items = (item.split() for item in text.split(", "))
    return {item[0]: [int(n) for n in item[1:]] for item in items}


def main(path):
    paid, spent, left, lost = ({} for _ in range(4))
    answered, unanswered = collections.Counter(), collections.Counter()
    last_seen, held, deaths = {}, {}, []
    refused = []
    losses = []
    outages = []
    for at, box, event in lines(path):
        kind = event.get("event")
        customer = event.get("customer")
        if kind == "started":
            if box in last_seen:
                if not deaths or last_seen[box] - deaths[-1]["at"] > DEATH_WINDOW_S:
                    deaths.append({"at": last_seen[box], "back": at, "boxes": {}})
                deaths[-1]["boxes"][box] = held.get(box, {})
                deaths[-1]["back"] = at
            held[box] = {}
        elif kind == "stopped" or kind == "funds_returned":
            held[box] = {}
        elif kind == "funds_held":
            held[box] = parse_held(event["held"])
        elif kind == "settled":
            if event["lost"] > lost.get(customer, 0):
                losses.append((at, customer, event["lost"] - lost.get(customer, 0)))
            lost[customer] = max(event["lost"], lost.get(customer, 0))
            spent[customer] = max(event["used"], spent.get(customer, 0))
            paid[customer] = event["unspent"] + event["used"] + event["lost"]
            left[customer] = event["left"]
        elif kind == "request_ended" and customer:
            (answered if event["outcome"] == "answered" else unanswered)[customer] += event["charged"]
            if event["reason"] in ("tokens_short", "budget_exhausted"):
                # "this box lacks tokens for N", "does not cover N tokens"; "hold" stands in older logs.
                size = re.search(r"(?:for|cover|hold) (\d+)", event["detail"])
                refused.append((at, event["route"], int(size[1]) if size else 0))
        elif kind == "dependency_lost" and event.get("what") == "book":
            outages.append((at, box))
        last_seen[box] = at

    print("By customer, at the end of the day")
    head = ("customer", "paid", "answered", "not answered", "lost", "of it used", "left in book")
    print("".join(f"{name:>14}" for name in head))
    totals = [0] * 6
    for name in sorted(paid, key=paid.get, reverse=True):
        used_unsettled = min(lost[name], max(0, answered[name] + unanswered[name] - spent[name]))
        row = [paid[name], answered[name], unanswered[name], lost[name], used_unsettled, left[name]]
        totals = [a + b for a, b in zip(totals, row)]
        print(f"{name:>14}" + "".join(f"{n:14,}" for n in row))
    print(f"{'all':>14}" + "".join(f"{n:14,}" for n in totals))
    if totals[0]:
        print(f"{'in 100 of paid':>14}" + "".join(f"{100 * n / totals[0]:14.1f}" for n in totals))

    print("\nBy death (of all that was paid so far; what the boxes held in the second before)")
    head = ("at", "back", "boxes", "kept", "open", "ahead", "held", "unsettled", "lost by book")
    print("".join(f"{name:>13}" for name in head))
    for n, death in enumerate(deaths):
        sums = [0] * 6
        for box in death["boxes"].values():
            for values in box.values():
                sums = [a + b for a, b in zip(sums, values)]
        until = deaths[n + 1]["at"] if n + 1 < len(deaths) else float("inf")
        lost_tokens = sum(tokens for at, _, tokens in losses if death["at"] < at <= until)
        kept, opened, ahead, reserved, unsettled, _ = sums
        row = [kept, opened, ahead, reserved, unsettled, lost_tokens]
        print(f"{death['at']:13.2f}{death['back']:13.2f}{len(death['boxes']):13}" + "".join(f"{v:13,}" for v in row))

    if deaths:
        back = deaths[-1]["back"]
        print(f"\nRefused for lack of tokens after {back:.2f} s, by route: requests, mean size, largest")
        sizes_by_route = collections.defaultdict(list)
        for at, route, size in refused:
            if at > back:
                sizes_by_route[route].append(size)
        for route, sizes in sorted(sizes_by_route.items(), key=lambda item: -len(item[1])):
            print(f"{route:>14}{len(sizes):8}{sum(sizes) // len(sizes):8,}{max(sizes):8,}")


if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    main(sys.argv[1])
