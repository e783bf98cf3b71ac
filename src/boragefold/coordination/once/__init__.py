"""At most one run of a non-idempotent call, wherever it is repeated.

A caller first fetches a ticket. The ticket names two registers, which are two
incarnations of entry instances, if possible in two data centres. An attempt
may send to an endpoint only after both registers have recorded it; each
register records one attempt per ticket, ever. So no clock, no lease and no
agreed membership is needed for safety, and either register alone can tell
later whether the ticket may have run.
"""

from __future__ import annotations
