"""Safeguards against what other writers leave in the store."""

from __future__ import annotations

from mutations import Mutation

PAGES = "platform/src/bamboopier_site/pages.py"
SCANNER = "libraries/objects/src/bamboopier_objects/json_scanner.py"
STORE = "platform/src/bamboopier_site/store.py"
PAGE_TESTS = "tests.test_pages.PageTests."
SCHEMA_TESTS = "tests.test_absurd_entries.SchemaTests."

MUTATIONS = (
    Mutation(
        "an unreadable object of a list costs that object alone",
        PAGES,
        "        return await _PageScan(body, max_value_bytes).read_list()\n",
        "        return _fail('page')\n",
        "platform",
        PAGE_TESTS + "test_an_unreadable_entry_of_a_list_costs_that_entry_alone",
    ),
    Mutation(
        "an unreadable object of a watch costs that object alone",
        PAGES,
        "        return await _PageScan(body, max_value_bytes).read_watch()\n",
        "        return _fail('page')\n",
        "platform",
        PAGE_TESTS + "test_an_unreadable_entry_of_a_watch_costs_that_entry_alone",
    ),
    Mutation(
        "too deep a value is an error as any other",
        "libraries/objects/src/bamboopier_objects/decoding.py",
        "(msgspec.MsgspecError, RecursionError, ValueError)",
        "(msgspec.MsgspecError, ValueError)",
        "platform",
        "tests.test_large_entries.LargeEntryTests."
        "test_nesting_beyond_what_a_decoder_takes_ends_no_process",
    ),
    Mutation(
        "other tasks run beside a scan",
        SCANNER,
        "        if self._scanned >= SLICE_BYTES:\n",
        "        if self._scanned < 0:\n",
        "libraries/objects",
        "tests.test_json_scanner.JsonScannerTests.test_other_tasks_run_beside_a_scan",
    ),
    Mutation(
        "what is outside strings is checked",
        SCANNER,
        '        raise ScanError("text outside strings")\n',
        "        return\n",
        "platform",
        PAGE_TESTS + "test_an_entry_between_values_without_an_end_is_read",
    ),
    Mutation(
        "a list goes on by the bytes of a name",
        PAGES,
        '    for errors in ("surrogateescape", "surrogatepass"):\n',
        '    for errors in ("strict",):\n',
        "platform",
        PAGE_TESTS + "test_a_list_goes_on_after_objects_without_a_readable_name",
    ),
    Mutation(
        "values longer than their kind has are not kept",
        STORE,
        "MAX_ENTRY_BYTES = 16 * 1024\n",
        "MAX_ENTRY_BYTES = 16 * 1024 * 1024\n",
        "platform",
        PAGE_TESTS + "test_many_large_entries_take_little_memory",
    ),
    Mutation(
        "a response is kept up to a limit",
        STORE,
        "            max_response_bytes=MAX_PAGE_BYTES,\n",
        "",
        "platform",
        PAGE_TESTS + "test_changes_of_many_large_entries_are_listed",
    ),
    Mutation(
        "an unreadable response is no sign of an outage",
        "libraries/proxy/src/bamboopier_proxy/monitored_store.py",
        "        response.err_value, RESPONSE_ERRORS\n",
        "        response.err_value, ()\n",
        "libraries/proxy",
        "tests.test_store_availability.MonitoredStoreTests."
        "test_an_unreadable_list_is_no_sign_of_an_outage",
    ),
    Mutation(
        "an engine's address is an IP and a port",
        "platform/src/bamboopier_site/settings.py",
        "    if not is_endpoint(host, _parse_port(port)):\n",
        "    if not host:\n",
        "platform",
        SCHEMA_TESTS + "test_an_entry_with_absurd_fields_names_no_engine",
    ),
    Mutation(
        "weights are published under their model's name alone",
        "platform/src/bamboopier_site/store_schema.py",
        "        if weights.model != name:\n",
        "        if not weights.model:\n",
        "platform",
        SCHEMA_TESTS + "test_weights_under_another_name_are_no_weights",
    ),
    Mutation(
        "a gateway that knows other objects confirms no list",
        "libraries/proxy/src/bamboopier_proxy/store_confirmation.py",
        "    if found.fingerprint == follower.fingerprint:\n",
        "    if found.changed_revision <= follower.revision:\n",
        "libraries/proxy",
        "tests.test_store_confirmation.StoreConfirmationTests."
        "test_a_list_with_other_objects_confirms_nothing",
    ),
)
