"""``spoolhead explain``: prints the decisions on a request, with their reasons."""

from spoolhead._internal import exceptions
from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.models import codes, settings
from spoolhead._internal.network import messages, peer_call


def run(
    config: settings.OperatorSettings, request_id: str, *, as_json: bool
) -> exit_codes.ExitCode:
    """Query all entries for the decisions on a request and print them."""
    decisions = []
    for address in config.entries:
        try:
            with peer_call.PeerCall(address, config) as call:
                question = messages.GetDecision(request=1, request_id=request_id)
                decisions.extend(call.ask(question, messages.DecisionAnswer).decisions)
        except exceptions.PeerError as error:
            output.print_error(str(error))
    if not decisions:
        text = codes.CODE_INFO[codes.ResultCode.DECISION_NOT_FOUND].meaning
        output.print_error(f"{text} [{int(codes.ResultCode.DECISION_NOT_FOUND)}]")
        return exit_codes.ExitCode.NOT_FOUND
    if as_json:
        output.print_json(decisions)
        return exit_codes.ExitCode.OK
    for item in decisions:
        _print_decision(item)
    return exit_codes.ExitCode.OK


def _print_decision(item: dict) -> None:
    code = f"{item['result']} [{item['result_code']}]"
    place = f" at {item['upstream']}" if item["upstream"] else ""
    print(f"after {item['wait_ms']} ms: {item['action']}{place}, {code}")
    print(f"  workspace {item['workspace'] or '-'}, service {item['service'] or '-'}")
    if item["detail"]:
        print(f"  {item['detail']}")
    for candidate in item["candidates"]:
        reason = candidate["lost_because"] or "chosen"
        print(f"  {candidate['upstream']}: fill {candidate['fill']}, {reason}")
