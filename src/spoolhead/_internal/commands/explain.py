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
                decisions.extend(call.request(question, messages.DecisionAnswer).decisions)
        except exceptions.PeerError as error:
            output.print_error(str(error))
    if not decisions:
        text = codes.CODE_INFO[codes.ResultCode.DECISION_NOT_FOUND].meaning
        output.print_error(f"{text} [{int(codes.ResultCode.DECISION_NOT_FOUND)}]")
        return exit_codes.ExitCode.NOT_FOUND
    if as_json:
        output.print_json(decisions)
        return exit_codes.ExitCode.OK
    for decision in decisions:
        _print_decision(decision)
    return exit_codes.ExitCode.OK


def _print_decision(decision: dict) -> None:
    code = f"{decision['result']} [{decision['result_code']}]"
    place = f" at {decision['upstream']}" if decision["upstream"] else ""
    print(f"after {decision['wait_ms']} ms: {decision['action']}{place}, {code}")
    print(f"  workspace {decision['workspace'] or '-'}, service {decision['service'] or '-'}")
    if decision["detail"]:
        print(f"  {decision['detail']}")
    for candidate in decision["candidates"]:
        reason = candidate["lost_because"] or "chosen"
        print(f"  {candidate['upstream']}: fill {candidate['fill']}, {reason}")
