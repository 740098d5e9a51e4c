"""Operator commands against HTTP stand-ins and a real bundle service."""

import argparse
import pathlib

import pytest

import bundle_helpers
from verbenafall_core import addresses
from verbenafall_core import clock
from verbenafall_core import http_client
from verbenafall_core.bundles import service as service_lib
from verbenafall_core.bundles import signing
from verbenafall_core.object_store import http_adapter
from verbenafall_gateway import operator_commands
from verbenafall_gateway.operator_commands import http_fleet
from verbenafall_gateway.operator_commands import operator_settings
from verbenafall_standins import http_serving
from verbenafall_standins import object_store

ROOT = pathlib.Path(__file__).parents[2]
SETTINGS = """\
[platform]
object_store = {store}
instance_list = {instances}
[bundles]
public_keys = {key}
[limits]
roll = 20 s
"""


def run(*arguments):
    parser = argparse.ArgumentParser()
    operator_commands.register(parser.add_subparsers(required=True))
    parsed = parser.parse_args([str(argument) for argument in arguments])
    return parsed.run(parsed)


class Site:
    """A store, an instance list and one gateway with its bundle service."""

    def __init__(self, path):
        paths = signing.generate_key_files(path).unwrap()
        self.key = paths.private
        store = object_store.create_object_store()
        self.servers = [
            http_serving.create_standin(handler)
            for handler in (store.handle, self.list, self.gateway)
        ]
        for server in self.servers:
            server.start()
        self.settings = path / "operator.ini"
        self.settings.write_text(
            SETTINGS.format(
                store=self.servers[0].url,
                instances=self.servers[1].url,
                key=paths.public,
            )
        )
        self.service = service_lib.create_bundle_service(
            http_adapter.create_http_object_store(
                http_client.create_http_client(), self.servers[0].url
            ),
            signing.read_public_keys([paths.public]).unwrap(),
            clock.system_clock(),
        )
        self.bundle = path / "bundle.json"

    def list(self, _request):
        entry = {
            "name": "gateway-1",
            "role": "gateway",
            "data_centre": "dc-1",
            "service": "",
            "address": str(self.servers[2].address),
            "state": "live",
        }
        return http_serving.json_response([entry])

    def gateway(self, request):
        if request.path == "/-/bundle-poll":
            self.service.poll_now()
            return http_serving.json_response({}, 202)
        in_force, pending, _ = self.service.heartbeat_fields()
        reason = self.service.not_ready_reason()
        status = {
            "token": 0,
            "instance": "gateway-1",
            "role": "gateway",
            "data_centre": "dc-1",
            "service": "",
            "in_force": in_force,
            "pending": pending,
            "rejected": [e._asdict() for e in self.service.rejected()],
            "ready": not reason,
            "not_ready_reason": reason,
            "draining": False,
            "groups": [],
        }
        return http_serving.json_response({"processes": [status]})

    def prepare(self, version):
        self.bundle.write_bytes(bundle_helpers.text_of(version))
        return run("bundle", "sign", self.bundle, "--key", self.key)


@pytest.fixture
def site(tmp_path):
    found = Site(tmp_path)
    found.service.start()
    yield found
    found.service.stop(http_serving.STOP_LIMIT)
    for server in found.servers:
        server.stop()


class TestRoll:
    def test_sign_roll_and_status(self, site, capsys):
        assert site.prepare(1) == 0
        arguments = (site.bundle, "--settings", site.settings)
        assert run("bundle", "roll", *arguments) == 0
        output = capsys.readouterr()
        assert "version 1 is accepted" in output.out
        assert "prepared by all 1 live processes" in output.err
        assert site.prepare(3) == 0
        assert run("bundle", "roll", *arguments) == 4
        assert "sign the bundle as version 2" in capsys.readouterr().out
        # The process reads the accepted version shortly after the command.
        code = 3
        while code == 3:
            code = run("bundle", "status", "--settings", site.settings)
        assert code == 0
        output = capsys.readouterr().out
        assert "head accepted=1 pending=-" in output
        assert "gateway-1 gateway dc-1 1 - - yes" in output

    def test_refuses_a_file_that_was_changed_after_signing(self, site, capsys):
        site.prepare(1)
        site.bundle.write_bytes(bundle_helpers.text_of(1) + b" ")
        code = run("bundle", "roll", site.bundle, "--settings", site.settings)
        assert code == 1
        assert "run bundle sign again" in capsys.readouterr().err


class TestFiles:
    def test_check_reports_every_fault(self, tmp_path, capsys):
        path = tmp_path / "bundle.json"
        path.write_bytes(bundle_helpers.text_of(0, region=""))
        assert run("bundle", "check", path) == 1
        assert len(capsys.readouterr().err.splitlines()) == 2

    def test_keys_are_not_replaced(self, tmp_path):
        assert run("keys", "generate", tmp_path) == 0
        assert run("keys", "generate", tmp_path) == 1

    @pytest.mark.parametrize("command", ["roll", "status"])
    def test_bad_settings(self, tmp_path, command, capsys):
        path = tmp_path / "operator.ini"
        path.write_text("[platform]\nobject_store = here\n")
        file = [tmp_path / "b.json"] if command == "roll" else []
        assert run("bundle", command, *file, "--settings", path) == 2
        assert "here" in capsys.readouterr().err

    @pytest.mark.parametrize("name", ["rumbo", "trip-permissions"])
    def test_examples_pass(self, name, capsys, tmp_path, monkeypatch):
        monkeypatch.chdir(tmp_path)
        signing.generate_key_files(tmp_path / "keys").unwrap()
        directory = ROOT / "examples" / name
        assert run("bundle", "check", directory / "bundle.json") == 0
        assert "2 services, 10 teams, 1 groups" in capsys.readouterr().out
        path = directory / "operator.ini"
        assert operator_settings.read_operator_settings(path).unwrap()


class TestStatusAnswer:
    @pytest.mark.parametrize(
        "body",
        [b"", b"[]", b"{}", b'{"processes": [{}]}', b'{"processes": [1]}'],
    )
    def test_malformed_answer_is_a_problem(self, body):
        assert (
            "gateway-1" in http_fleet.decode_status("gateway-1", body).failure()
        )

    def test_an_unreachable_gateway_is_a_problem(self):
        client = http_client.create_http_client()
        fleet = http_fleet.create_http_fleet(client, None)
        address = addresses.Address("127.0.0.1", 1)
        entry = argparse.Namespace(name="gateway-1", address=address)
        assert "gateway-1" in fleet.read_gateway(entry).failure()
