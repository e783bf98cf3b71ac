"""Entry point of the program."""

from __future__ import annotations

from boragefold.cli import main


def run() -> None:
    """Run the command line."""
    main.main()


if __name__ == "__main__":
    run()

__all__ = [
    "run",
]
