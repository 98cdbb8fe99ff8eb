#!/usr/bin/env bash
# Compiles the stand-ins and the cases into review/target/classes. Run it after the build line of
# deploy/system.toml: the JSON library is taken from the program of the node.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/review/target/classes"
javac --release 17 -proc:none -nowarn -cp "$root/target/bambootray-node.jar" \
  -d "$root/review/target/classes" "$root"/review/standin/*.java "$root"/review/[1-5]/*.java
