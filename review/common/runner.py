"""Runs a case: cleans up after it and turns its result into the exit code."""

import asyncio
import logging
import os
import signal
import sys
import traceback

from fleet import CannotRun, Record

logging.getLogger("asyncio").setLevel(logging.CRITICAL)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def run_case(play):
    """`play` gets the record and a list for clean-ups; returns the breaks of the rule."""
    record, cleanups = Record("record.txt"), []

    def on_end(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, on_end)
    code = 2
    try:
        breaks = asyncio.run(play(record, cleanups))
        for each in breaks:
            record.add("check", each)
            print(each)
        record.add("check", "the rule was broken" if breaks else "the rule held")
        print("the rule was broken" if breaks else "the rule held")
        code = 1 if breaks else 0
    except CannotRun as failure:
        record.add("check", f"the case could not run: {failure}")
        print(f"the case could not run: {failure}", file=sys.stderr)
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
    finally:
        for each in reversed(cleanups):
            each()
        record.close()
    os._exit(code)
