"""Pause of the event loop and time of snapshots, by number of records.

One replica of one voter in this process, with its log on the disk. The
records are put into its state machine directly, without the log. Prints one
JSON line for each size: python -m bench.snapshots 10000 100000 500000
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import gc
import json
import os
import pathlib
import secrets
import sys
import tempfile
import time
import typing

from bench import addresses as bench_addresses
from bench import claims
from godwitstall.consensus import replica as replicas
from godwitstall.consensus import snapshots
from godwitstall.consensus import storage
from godwitstall.control import machine as machines
from godwitstall import link
from godwitstall import messages
from godwitstall import settings
