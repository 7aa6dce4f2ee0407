"""Settings of the C library's memory allocator."""

import ctypes
import logging

logger = logging.getLogger(__name__)

MMAP_THRESHOLD_BYTES = 131_072
"""Size from which a block has its own mapping, which is returned to the kernel when it is freed."""
TRIM_THRESHOLD_BYTES = 2_097_152
"""Free memory at the end of the heap that is kept. With little of it, reads of connections would
return memory and request it again all the time."""
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
"""Parameters of ``mallopt``."""


def return_large_blocks() -> None:
    """Have the memory of large blocks returned to the kernel as soon as they are freed.

    By default the allocator raises the threshold to the size of the blocks that it sees. Freed
    bodies of requests then stay in the heap, between blocks that are still in use.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        logger.info("the allocator has no thresholds for large blocks")
        return
    mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    mallopt(_M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)


def trim() -> None:
    """Return free memory within the heap to the kernel; takes some milliseconds."""
    malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if malloc_trim is not None:
        malloc_trim(0)
