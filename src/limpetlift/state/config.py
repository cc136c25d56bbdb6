"""Services as operators configure them."""

import pathlib
import tomllib

import attrs

from limpetlift import defaults


@attrs.frozen
class Service:
    """A named group of backend servers behind an address.

    :param name: unique name.
    :param address: ``ip:port`` that callers use, UDP and TCP.
    """

    name: str
    address: str
    slots: int = defaults.TARGET_SLOTS
    max_flows: int = defaults.TARGET_CONNECTIONS
    sharing: str = "bounded"
    admission: str = "deadline"
    reset_payload: str = ""
    flow_idle_s: float = defaults.FLOW_IDLE_S
    slow_start_s: float = defaults.SLOW_START_S
    request_timeout_s: float = defaults.REQUEST_TIMEOUT_S

    @property
    def endpoint(self):
        """The address as ``(ip, port)``."""
        ip, _, port = self.address.rpartition(":")
        return ip, int(port)


def load_folder(folder):
    """Return the services of the TOML files in ``folder``."""
    fields_by_name = {}
    for path in sorted(pathlib.Path(folder).glob("*.toml")):
        values = tomllib.loads(path.read_text(encoding="utf-8"))
        for name, fields in values.get("services", {}).items():
            fields_by_name.setdefault(name, {}).update(fields)
    return [
        Service(name=name, **fields) for name, fields in fields_by_name.items()
    ]
