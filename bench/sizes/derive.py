#!/usr/bin/env python3
"""Derives variants of a deployment from a site file, into a folder outside the repository.

Usage: derive.py SITE.toml FOLDER

Writes one site file per variant and copies the other files of SITE's folder beside it. FOLDER must not
be inside the repository, because site files belong to users. Run a variant with
`fleetbench hunt FOLDER/VARIANT.toml --days N`. The marks of the days apply only to the original site;
for a variant, look only at broken rules.
"""
import pathlib, re, shutil, sys

MACHINES = re.compile(r'^machines = \[$.*?^\]$', re.S | re.M)


def boxes(text, counts):
    """Sets the number of boxes of each availability zone, in order; zones without a count get none."""
    block = MACHINES.search(text)[0]
    lines = [line for line in block.splitlines() if line.strip().startswith("{")]
    kept = [re.sub(r"count = \d+", f"count = {count}", line) for line, count in zip(lines, counts) if count]
    return text.replace(block, "\n".join(["machines = [", *kept, "]"]))


def scaled(text, field, factor):
    """Multiplies all occurrences of a numeric field."""
    return re.sub(rf"\b{field} = ([\d.]+)", lambda m: f"{field} = {float(m[1]) * factor:g}", text)


def engines(text, factor):
    """Multiplies the number of engines in each zone."""
    def line(match):
        return re.sub(r"count = (\d+)", lambda m: f"count = {max(1, round(int(m[1]) * factor))}", match[0])

    return re.sub(r'\{ name = "[^"]*", model = "llm", servers = \[.*?\]', line, text)


def speeds(text, factors):
    """Sets the list of slowdown factors, relative to the fastest engine, of the engines of a service."""
    return re.sub(r'(model = "llm",.*?speeds = )\[[^\]]*\]', rf"\g<1>{factors}", text)


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
    for name, derive in VARIANTS.items():
        derived = derive(text)
        if derived == text:
            print(f"{name}: {site.name} has nothing to change")
            continue
        (folder / f"{site.stem}-{name}.toml").write_text(derived)
        print(folder / f"{site.stem}-{name}.toml")


if __name__ == "__main__":
    main()
