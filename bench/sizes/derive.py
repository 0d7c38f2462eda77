#!/usr/bin/env python3
"""Derives other sizes of a deployment from the users' site file, into a folder outside the repository.

Usage: derive.py SITE.toml FOLDER

Writes one site file a variant, with the files that it names beside it. Nothing of the users' files
is copied into the repository: they are read where they lie. Play a variant with
`fleetbench hunt FOLDER/VARIANT.toml --days N`. The marks of the days belong to the original and say
nothing about a variant; broken rules do.
"""
import pathlib, re, shutil, sys

MACHINES = re.compile(r'^machines = \[$.*?^\]$', re.S | re.M)


def boxes(text, counts):
    """Sets the number of boxes by availability zone, in order; zones without one lose theirs."""
    block = MACHINES.search(text)[0]
    lines = [line for line in block.splitlines() if line.strip().startswith("{")]
    kept = [re.sub(r"count = \d+", f"count = {count}", line) for line, count in zip(lines, counts) if count]
    return text.replace(block, "\n".join(["machines = [", *kept, "]"]))


def scaled(text, field, factor):
    """Multiplies a numeric field wherever it stands."""
    return re.sub(rf"\b{field} = ([\d.]+)", lambda m: f"{field} = {float(m[1]) * factor:g}", text)


def engines(text, factor):
    """Multiplies the number of engines in each zone."""
    def line(match):
        return re.sub(r"count = (\d+)", lambda m: f"count = {max(1, round(int(m[1]) * factor))}", match[0])

    return re.sub(r'\{ name = "[^"]*", model = "llm", servers = \[.*?\]', line, text)


def speeds(text, list_of_speeds):
    """Sets how many times as long as the fastest the engines of a service take, drawn from a list."""
    return re.sub(r'(model = "llm",.*?speeds = )\[[^\]]*\]', rf"\g<1>{list_of_speeds}", text)


VARIANTS = {
    "three-boxes": lambda text: boxes(text, [1, 1, 1]),
    "twenty-boxes": lambda text: boxes(text, [7, 7, 6, 5]),
    "one-box-a-zone": lambda text: boxes(text, [1, 1, 1, 1]),
    "thirty-customers": lambda text: re.sub(r"(\[tenants\]\ncount = )\d+", r"\g<1>30", text),
    "small-budgets": lambda text: scaled(text, "prepaid_x", 0.5),
    "large-budgets": lambda text: scaled(text, "prepaid_x", 3),
    "short-deadlines": lambda text: scaled(text, "deadline_ms", 0.5),
    "other-speeds": lambda text: speeds(text, [1.0, 1.8, 1.1, 1.0]),
    "half-the-engines": lambda text: engines(text, 0.5),
    "three-times-the-engines": lambda text: engines(text, 3),
    "short-pauses": lambda text: scaled(text, "gap_aim_ms", 0.6),
    "slow-store": lambda text: scaled(text, "writes_per_s", 0.25),
}


def main():
    site, folder = map(pathlib.Path, sys.argv[1:3])
    folder.mkdir(parents=True, exist_ok=True)
    text = site.read_text()
    for other in site.parent.iterdir():
        if other.suffix != ".toml":
            shutil.copy(other, folder)
    for name, change in VARIANTS.items():
        derived = change(text)
        if derived == text:
            print(f"{name}: nothing to change in {site.name}")
            continue
        (folder / f"{site.stem}-{name}.toml").write_text(derived)
        print(folder / f"{site.stem}-{name}.toml")


if __name__ == "__main__":
    main()
