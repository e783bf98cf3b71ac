"""Sphinx configuration."""

from __future__ import annotations

project = "boragefold"
extensions = ["myst_parser"]
source_suffix = {".md": "markdown"}
exclude_patterns = ["_build", "changelog/*"]
myst_heading_anchors = 3
html_theme = "alabaster"
