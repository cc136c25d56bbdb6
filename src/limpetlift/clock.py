"""The clock of the processes that forward segments."""

import time

# The monotonic clock of Linux does not count the time that an instance is
# suspended, and what the process believes is older by that time.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now():
    """Return the seconds since some point in the past.

    The clock never goes back, and runs on while the instance is suspended.
    """
    return time.clock_gettime(_CLOCK)
