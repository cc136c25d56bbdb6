"""Builds ``dist/limpetlift``, an executable zipapp of pure Python.

Python cannot import compiled extensions from a zip file. They are removed;
every required library falls back to pure Python without them.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile
import zipapp

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_TARGET = _ROOT / "dist" / "limpetlift"
_EXCLUDED_GLOBS = (
    "*.so",
    "*.pyx",
    "*.pxd",
    "*.c",
    "*.h",
    "__pycache__",
    "bin",
)


def _install(folder):
    subprocess.run(
        [sys.executable, "-m", "pip", "install", "--quiet", "--no-deps"]
        + ["--no-compile", "--target", str(folder)]
        + ["-r", str(_ROOT / "requirements.txt")],
        check=True,
        stderr=subprocess.DEVNULL,
    )
    shutil.copytree(_ROOT / "src" / "limpetlift", folder / "limpetlift")


def _remove_excluded(folder):
    for pattern in _EXCLUDED_GLOBS:
        for path in list(folder.rglob(pattern)):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()


def main():
    """Build the zipapp and print its path and size."""
    with tempfile.TemporaryDirectory() as folder_name:
        folder = pathlib.Path(folder_name) / "app"
        folder.mkdir()
        _install(folder)
        _remove_excluded(folder)
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
