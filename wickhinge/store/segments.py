"""Segments: how much of each is alive, which one is written anew to win its dead bytes back, when one may go."""

from __future__ import annotations


class Segment:
    __slots__ = ("number", "size", "live", "pins", "sealed")

    def __init__(self, number: int, size: int = 0, sealed: bool = False) -> None:
        self.number, self.size, self.sealed = number, size, sealed
        self.live = self.pins = 0  # bytes that count; reads and moves under way


class Space:
    """room: bytes on disk. A segment is recycled only whole, and never under a reader."""

    def __init__(self, room: int, segment: int) -> None:
        self.room, self.segment = room, segment
        self.segments: dict[int, Segment] = {}
        self.total = 0
        self.cleaning: int | None = None

    def add(self, number: int, size: int = 0, sealed: bool = False) -> Segment:
        if number not in self.segments:
            self.segments[number] = Segment(number, size, sealed)
            self.total += size
        return self.segments[number]

    def wrote(self, place: tuple[int, int, int]) -> None:
        """Written there, in sequence: all earlier segments are whole."""
        number, offset, length = place
        if number not in self.segments:
            for other in self.segments.values():
                other.sealed = other.sealed or other.number < number
        segment = self.add(number)
        self.total += offset + length - segment.size
        segment.size = offset + length

    def alive(self, place: tuple[int, int, int]) -> None:
        self.segments[place[0]].live += place[2]

    def dead(self, place: tuple[int, int, int]) -> None:
        if place[0] in self.segments:
            self.segments[place[0]].live -= place[2]

    def pin(self, number: int) -> None:
        self.segments[number].pins += 1

    def unpin(self, number: int) -> None:
        if number in self.segments:
            self.segments[number].pins -= 1

    def full(self) -> bool:
        """Nothing new until a segment was recycled."""
        return self.total + self.segment > self.room

    def idle(self) -> list[int]:
        """Segments with nothing alive that nobody reads: to be recycled now."""
        return [one.number for one in self.segments.values() if one.sealed and one.live <= 0 and one.pins == 0]

    def victim(self) -> int | None:
        """The sealed segment with the least alive, once room runs short; its copies move to the front."""
        if self.cleaning is not None or self.total + 2 * self.segment <= self.room:
            return None
        sealed = [one for one in self.segments.values() if one.sealed and one.live > 0]
        return min(sealed, key=lambda one: (one.live / max(one.size, 1), one.number)).number if sealed else None

    def drop(self, number: int) -> None:
        segment = self.segments.pop(number, None)
        if segment is not None:
            self.total -= segment.size
        if self.cleaning == number:
            self.cleaning = None
