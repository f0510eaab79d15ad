"""Runs the features on real processes; their steps are in `steps`."""

import pytest_bdd

pytest_bdd.scenarios('promises.feature', 'fleet.feature')
