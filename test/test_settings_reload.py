"""SIGHUP while the settings file of the platform is unusable."""

import os
import tempfile
from pathlib import Path
from unittest.mock import patch

from nose2.tools import params

from test.meshports import SETTINGS

from meshport.platform_settings import (  # isort:skip
    FILE_VARIABLE,
    load_platform_settings,
)

from waxwingsaddle.settings import SettingsError


@params(b'', b'\xff', b'# \xc3', SETTINGS.encode('utf-16'))
def test_unreadable_settings_are_refused(raw):
    """Guards against a reload that ends the process and all its calls.

    A file that is not UTF-8, such as one cut within a character while it was
    written, raised an error that nothing caught.
    """
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder, 'boot.toml')
        file.write_bytes(raw)
        with patch.dict(os.environ, {FILE_VARIABLE: str(file)}):
            assert isinstance(load_platform_settings(), SettingsError)
