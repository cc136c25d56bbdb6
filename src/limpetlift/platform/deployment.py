"""Runs balancers and agents on the platform."""

import os
import sys

from limpetlift import exceptions
from limpetlift.platform import documents
from limpetlift.platform import packet
from limpetlift.platform import store
from limpetlift.platform import web
from limpetlift.tasks import segmentprocess

_SETTINGS_VARIABLE = "LIMPETLIFT_SETTINGS"

DEPLOYMENT = segmentprocess.Deployment(
    packet.decode,
    packet.encode_reset,
    store.PlatformStore,
    web.serve,
    documents.CONFIG_KEY,
    documents.decode_routes,
    documents.OPERATOR_PREFIX,
    documents.EVACUATIONS_PREFIX,
)


def run(process_class):
    """Run a process with the settings file that the environment names.

    :param process_class: a subclass of
        :class:`~limpetlift.tasks.segmentprocess.SegmentProcess`.
    """
    try:
        process = process_class(os.environ[_SETTINGS_VARIABLE], DEPLOYMENT)
    except exceptions.SettingsError as error:
        sys.exit(str(error))
    except KeyError:
        sys.exit("environment variable %s is not set" % _SETTINGS_VARIABLE)
    process.run()
