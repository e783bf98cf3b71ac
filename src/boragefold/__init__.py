"""A serving layer for very many LoRA adapters on a few base models."""

from __future__ import annotations
