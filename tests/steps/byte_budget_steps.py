"""Properties of the budget of bytes, of the decoder of chunks, and of the turns of reading."""

from typing import Any

import eventlet
from behave import then
from hypothesis import given as over
from hypothesis import strategies as st

from myrtlehook_core import ByteBudget, Holder, byte_budgets
from myrtlehook_router.connection.chunk_decoders import ChunkDecoder, ChunkError
from myrtlehook_router.connection.reading_turns import MAX_BURST_S, TIME_FACTOR, ReadingTurns

TOTAL_BYTES = 4 * 1024 * 1024
NAMES = ("planners", "dispatch", "")
BODY_LIMIT_BYTES = 1 << 20

Step = tuple[int, str, int]
"""A holder's number, what it does, and a number of bytes."""

STEPS = st.lists(
    st.tuples(
        st.integers(0, 11),
        st.sampled_from(("hold", "hold", "release", "release part")),
        st.integers(1, TOTAL_BYTES),
    ),
    max_size=60,
)
CHUNKS = st.lists(
    st.one_of(
        st.binary(min_size=1, max_size=40),
        st.integers(4, 400).flatmap(lambda count: st.just(b"r" * count)),
    ),
    max_size=20,
)


def _play(steps: list[Step]) -> tuple[ByteBudget, list[Holder]]:
    """Play a history in which each holder asks before it holds more."""
    budget = ByteBudget(TOTAL_BYTES)
    holders = [Holder(workspace=NAMES[number % len(NAMES)]) for number in range(12)]
    for number, step, size_bytes in steps:
        holder = holders[number]
        if step != "hold":
            byte_budgets.release(budget, holder, None if step == "release" else size_bytes)
        elif byte_budgets.may_hold(budget, holder, size_bytes):
            byte_budgets.hold(budget, holder, size_bytes)
    return budget, holders


@then("in any history, the budget holds what its holders do, and no more than its total")
def check_sums(context: Any) -> None:
    @over(STEPS)
    def check(steps: list[Step]) -> None:
        budget, holders = _play(steps)
        assert budget.held_bytes == sum(holder.held_bytes for holder in holders)
        assert budget.held_bytes <= TOTAL_BYTES
        for name in NAMES:
            held_bytes = sum(one.held_bytes for one in holders if one.workspace == name)
            assert budget.held_by_workspace.get(name, 0) == held_bytes
        assert set(budget.holders) == {one for one in holders if one.held_bytes}

    check()


@then("in any history, a small request of another workspace finds room beside large ones")
def check_reserve(context: Any) -> None:
    @over(STEPS, st.integers(1, byte_budgets.SMALL_BYTES))
    def check(steps: list[Step], small_bytes: int) -> None:
        budget, holders = _play(steps)
        large = [one for one in holders if one.held_bytes > byte_budgets.SMALL_BYTES]
        if len(large) > 1:
            assert byte_budgets.may_hold(budget, Holder("another"), small_bytes)

    check()


@then("in any history, one workspace among several holds no more than its part with large bodies")
def check_workspaces(context: Any) -> None:
    @over(STEPS)
    def check(steps: list[Step]) -> None:
        budget, holders = _play(steps)
        for name in NAMES:
            held = [one.held_bytes for one in holders if one.workspace == name and one.held_bytes]
            if len(held) > 1:
                part = TOTAL_BYTES * byte_budgets.SMALL_WORKSPACE_FRACTION
                assert sum(held) <= part, held

    check()


@then("any request that fits the budget finds room if nothing else is held")
def check_alone(context: Any) -> None:
    @over(st.integers(1, TOTAL_BYTES))
    def check(size_bytes: int) -> None:
        assert byte_budgets.may_hold(ByteBudget(TOTAL_BYTES), Holder("planners"), size_bytes)

    check()


@then("of any clients, the one without progress for longest gives way, and none that moves")
def check_stalled(context: Any) -> None:
    moves = st.tuples(st.booleans(), st.floats(0, 5), st.integers(0, 40_000))

    @over(st.lists(moves, max_size=12), st.floats(0, 6))
    def check(clients: list[tuple[bool, float, int]], now_s: float) -> None:
        budget = ByteBudget(TOTAL_BYTES)
        expected = []
        for waits, moved_at_s, size_bytes in clients:
            holder = Holder()
            byte_budgets.hold(budget, holder, 1)
            if not waits:
                continue
            byte_budgets.begin_wait_for_client(holder, 0.0)
            byte_budgets.record_moved(holder, size_bytes, moved_at_s)
            progressed_at_s = moved_at_s if size_bytes >= byte_budgets.PROGRESS_BYTES else 0.0
            if now_s >= progressed_at_s + byte_budgets.STALL_S:
                expected.append(progressed_at_s)
        found = byte_budgets.find_stalled(budget.holders, now_s)
        assert (None if found is None else found.progressed_at_s) == min(expected, default=None)

    check()


def _write_chunks(chunks: list[bytes]) -> bytes:
    written = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return written + b"0\r\n\r\n"


def _decode(raw: bytes, cuts: list[int]) -> tuple[bytes, bytes, bool]:
    """Return the content, what comes after the body, and whether the body is whole."""
    decoder = ChunkDecoder(BODY_LIMIT_BYTES)
    content = rest = b""
    places = sorted({0, len(raw), *(cut % (len(raw) + 1) for cut in cuts)})
    for begin, end in zip(places, places[1:], strict=False):
        if decoder.is_whole:
            rest += raw[begin:end]
            continue
        found, rest = decoder.decode(raw[begin:end])
        content += found
    return content, rest, decoder.is_whole


@then("any chunks in any pieces are decoded as they were written")
def check_chunks(context: Any) -> None:
    @over(CHUNKS, st.integers(1, 400), st.lists(st.integers(0, 100_000), max_size=8))
    def check(chunks: list[bytes], repeated: int, cuts: list[int]) -> None:
        chunks = [*chunks, *([b"x"] * repeated), *chunks]
        content, rest, is_whole = _decode(_write_chunks(chunks) + b"next", cuts)
        assert (content, rest, is_whole) == (b"".join(chunks), b"next", True)

    check()


def _read_strictly(raw: bytes) -> bytes | None:
    """Return the content of chunks without extensions and trailers; None if they are not whole."""
    content = b""
    while True:
        line, separator, raw = raw.partition(b"\r\n")
        digits = line.partition(b";")[0].rstrip(b" \t")
        if (
            not separator
            or not digits
            or not all(byte in b"0123456789abcdefABCDEF" for byte in digits)
        ):
            return None
        size = int(digits, 16)
        if size == 0:
            return content
        content += raw[:size]
        if raw[size : size + 2] != b"\r\n":
            return None
        raw = raw[size + 2 :]


@then("any chunks that are spoilt in one byte are refused, or hold what a strict reader reads")
def check_spoilt(context: Any) -> None:
    @over(CHUNKS, st.integers(0, 60), st.integers(0, 100_000), st.integers(0, 255))
    def check(chunks: list[bytes], repeated: int, place: int, byte: int) -> None:
        raw = bytearray(_write_chunks([*chunks, *([b"yy"] * repeated)]))
        raw[place % len(raw)] = byte
        try:
            content, _, is_whole = _decode(bytes(raw), [])
        except ChunkError:
            return
        if is_whole:
            assert content == _read_strictly(bytes(raw))

    check()


@then("any sequence of reading leaves the loop as much time for others")
def check_turns(context: Any) -> None:
    @over(st.lists(st.floats(0.0001, 0.02), min_size=1, max_size=40))
    def check(spent: list[float]) -> None:
        clock = [0.0]
        turns = ReadingTurns(lambda: clock[0])
        sleep = eventlet.sleep

        def advance(seconds: float) -> None:
            clock[0] += seconds

        eventlet.sleep = advance
        try:
            for spent_s in spent:
                turns.wait()
                clock[0] += spent_s
                turns.charge(spent_s)
        finally:
            eventlet.sleep = sleep
        shortest_s = TIME_FACTOR * (sum(spent) - max(spent)) - len(spent) * 1e-9
        assert clock[0] >= shortest_s - MAX_BURST_S, (clock[0], spent)

    check()
