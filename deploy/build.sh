#!/bin/sh
# Installs the pinned packages and the project's sources into target/deps and
# compiles them to bytecode, because the tree is read-only at run time.
set -eu
deps=target/deps
stamp=target/requirements.stamp
if ! cmp -s deploy/requirements.txt "$stamp"; then
  rm -rf target
  mkdir -p target
  python3 -m pip install -q --disable-pip-version-check --no-compile \
    --target "$deps" -r deploy/requirements.txt
  cp deploy/requirements.txt "$stamp"
fi
for package in packages/core/balsamshore_core \
  packages/node/balsamshore_node platform/balsamshore_platform; do
  rm -rf "$deps/$(basename "$package")"
  cp -r "$package" "$deps/"
done
python3 -m compileall -q "$deps"
