"""The era of the store, as its answers and other balancers tell it."""

import attrs

from limpetlift import structs

# More digits than an era that increases by one each time ever has; 64 bits
# hold them.
_MAX_DIGITS = 16


@structs.frozen
class Finding:
    """What one answer of the store, or a message, told of its era.

    :param era: the era that what it holds belongs to.
    :param is_outdated: whether it is of an earlier era than the store's, and
        has to be ignored.
    :param is_new: whether the store has begun a new era since.
    :param event: name of the log event, or an empty string when nothing has
        changed.
    :param fields: fields of the log event.
    """

    era: int
    is_outdated: bool = False
    is_new: bool = False
    event: str = ""
    fields: dict = attrs.field(factory=dict)


@structs.define
class EraTracker:
    """Decides which era of the store is in force.

    An era that is not a number is logged, and the last valid one stays in
    force. One that decreases is logged and ignored with its answer: a proxy
    may still have answers of an earlier era. Each value is logged once until
    a valid one comes.

    :param era: the highest era that was learned; None before the first one.

    .. versionadded:: 0.2
    """

    era: object = None
    _logged: object = None

    def on_answer(self, text):
        """Return the :class:`Finding` of an answer of the store.

        :param text: value of the header that has the era, or None for an
            answer without it, which is of era 0.
        """
        if text is None:
            return self.on_era(0, "answer without an era")
        if not (
            len(text) <= _MAX_DIGITS and text.isascii() and text.isdigit()
        ):
            if self.era is None:
                self.era = 0
            return Finding(
                self.era,
                **self._logged_once(
                    "store_era_invalid",
                    text,
                    {"value": text[:40], "in_force": self.era},
                ),
            )
        return self.on_era(int(text), "answer")

    def on_era(self, era, source):
        """Return the :class:`Finding` of a valid era.

        :param source: where it comes from, for the log.
        """
        known = self.era
        fields = {"era": era, "in_force": known, "source": source}
        if known is None or era > known:
            self.era = era
            self._logged = None
            if known is None:
                return Finding(era, event="store_era_known", fields=fields)
            return Finding(
                era, is_new=True, event="store_era_raised", fields=fields
            )
        if era < known:
            return Finding(
                era,
                is_outdated=True,
                **self._logged_once("store_era_decreased", era, fields),
            )
        self._logged = None
        return Finding(era)

    def _logged_once(self, event, value, fields):
        if self._logged == value:
            return {}
        self._logged = value
        return {"event": event, "fields": fields}
