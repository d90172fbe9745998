"""Keys of streams that may be resumed: equal for all attempts of a client at one stream."""

import hashlib

STREAM_KEY_BYTES = 16
"""Long enough to rule out collisions among all streams of a fleet, even deliberate ones."""


def make_stream_key(workspace: str, pool: str, first_request_id: str) -> bytes:
    """Return the key of a stream, which is the same at every router.

    It includes the workspace, so that no workspace can affect another one's streams.

    :param first_request_id: the request id of the attempt that brought the stream's first event.
    """
    text = f"{len(workspace)}/{workspace}/{len(pool)}/{pool}/{first_request_id}"
    return hashlib.blake2b(text.encode(), digest_size=STREAM_KEY_BYTES).digest()
