"""Builds ``dist/limpetlift``, one executable zipapp of pure Python.

Compiled extensions cannot be imported from a zip file; each library used has
a pure-Python fallback for its own, so the extensions are left out.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile
import zipapp

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_TARGET = _ROOT / "dist" / "limpetlift"
_LEFT_OUT = ("*.so", "*.pyx", "*.pxd", "*.c", "*.h", "__pycache__", "bin")


def _install(folder):
    subprocess.run(
        [sys.executable, "-m", "pip", "install", "--quiet", "--no-deps"]
        + ["--no-compile", "--target", str(folder)]
        + ["-r", str(_ROOT / "requirements.txt")],
        check=True,
        stderr=subprocess.DEVNULL,
    )
    shutil.copytree(_ROOT / "src" / "limpetlift", folder / "limpetlift")


def _strip(folder):
    for pattern in _LEFT_OUT:
        for path in list(folder.rglob(pattern)):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()


def main():
    """Build the file and print its path and size."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name) / "app"
        folder.mkdir()
        _install(folder)
        _strip(folder)
        _TARGET.parent.mkdir(exist_ok=True)
        zipapp.create_archive(
            folder,
            _TARGET,
            interpreter="/usr/bin/env python3",
            main="limpetlift.__main__:main",
            compressed=True,
        )
    size = _TARGET.stat().st_size
    print("%s %d bytes" % (_TARGET.relative_to(_ROOT), size))


if __name__ == "__main__":
    main()
