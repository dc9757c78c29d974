"""Makes the adapter importable, as platform/run.py does."""

import pathlib
import sys

_FOLDER = pathlib.Path(__file__).resolve().parents[2] / 'platform'
sys.path.insert(0, str(_FOLDER))
