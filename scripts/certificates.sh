#!/usr/bin/env bash
# Makes an authority and one certificate that is valid on the given IP numbers,
# for trials. Use your own authority where others depend on it. An authority
# that stands in the folder is kept and signs a new certificate.
# usage: certificates.sh FOLDER IP...
set -euo pipefail
dir=$1
shift
mkdir -p "$dir"
names=$(printf 'IP:%s,' "$@")
if [ ! -e "$dir/ca.key" ]; then
	openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -days 30 \
		-subj "/CN=caperdrum trial authority" -keyout "$dir/ca.key" -out "$dir/ca.pem" 2>/dev/null
fi
openssl req -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -subj "/CN=caperdrum" \
	-keyout "$dir/key.pem" -out "$dir/request.pem" 2>/dev/null
openssl x509 -req -in "$dir/request.pem" -CA "$dir/ca.pem" -CAkey "$dir/ca.key" -CAcreateserial -days 30 \
	-extfile <(printf 'subjectAltName=%s\nextendedKeyUsage=serverAuth,clientAuth\n' "${names%,}") -out "$dir/cert.pem" 2>/dev/null
rm "$dir/request.pem"
