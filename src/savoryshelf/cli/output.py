"""Prints results as tables or as JSON."""

import json

import click
import tabulate


def show_rows(rows: list[dict], columns: list[str], as_json: bool) -> None:
    """Print all fields of ``rows`` as JSON, or ``columns`` as a table."""
    if as_json:
        click.echo(json.dumps(rows, indent=2))
        return
    cells = [[_cell(row.get(column)) for column in columns] for row in rows]
    click.echo(tabulate.tabulate(cells, headers=columns) if rows else "(none)")


def show_object(content: dict, as_json: bool) -> None:
    """Print an object as JSON, or as one line for each field."""
    if as_json:
        click.echo(json.dumps(content, indent=2))
        return
    for name, value in content.items():
        click.echo(f"{name}: {_cell(value)}")


def _cell(value: object) -> object:
    if value is None:
        return "-"
    if isinstance(value, dict):
        return ", ".join(f"{key} {item}" for key, item in value.items()) or "-"
    return value
