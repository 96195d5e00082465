package calicochute.errors;

/** The errors there are. A number is never used again for another error: runbooks name it. */
public enum Code {
    SETTINGS(
            "C101",
            "Correct the entry that the message names, or take the last file that worked; `check --config FILE` tries a file without serving."),
    CONFIGURATION_UNREADABLE(
            "C102",
            "See that the file named by --config or PROXY_CONFIG exists and that the program's user may read it."),
    RELOAD(
            "C103",
            "Nothing has changed: correct the file and send SIGHUP again, or restart the balancer where a class was taken out on purpose."),
    SERVER_LIST(
            "C201",
            "The list held stays in use: look at discovery's answer to GET /v1/endpoints, and at what writes its entries."),
    ADDRESS_TAKEN(
            "C301",
            "Another process listens there, or the address is not this machine's: end that process or change `listen` (or `admin_addr`)."),
    INHERITED_SOCKET(
            "C302",
            "Start the program with the listening socket as descriptor 0, or without the variable that promises one."),
    WIRE("C401", "The simulator's host sent a line that its protocol does not have: compare the versions of the two."),
    OPERATOR_FILE(
            "C501",
            "Correct the line that the message names; `check` tries the file that PROXY_FLEET names without serving."),
    EXPERIMENT("C502", "Change the experiment as the rule says, under a new name if it ran already; the others go on."),
    FLEET_ADDRESS(
            "C503",
            "Another process has the UDP address, or it is not this machine's: change `listen` in the operator's file. The balancer serves on alone."),
    STATE_FOLDER(
            "C504",
            "See that `state` names a folder that the program's user may write, and that the disk is not full. Experiments go on without memory until then."),
    STATE_FOREIGN(
            "C505",
            "The file is torn, of another version or of another balancer: it was left as it is and not used. Remove it, or name another folder."),
    SCENARIO("C601", "Correct the field that the message names; docs/lab.md lists the fields and their bounds."),
    DEPLOYMENT(
            "C602",
            "Run the lab inside a checkout with deploy/balancer.toml, or name a command with --balancer-command."),
    RESULT_FOLDER(
            "C603", "Name a folder that `lab run` wrote, of this version; run the scenario again where it is older."),
    BALANCER_START(
            "C604", "Read the balancer's log in the run's folder; a busy machine wants fewer balancers at a time.");

    private final String id;
    private final String remedy;

    Code(String id, String remedy) {
        this.id = id;
        this.remedy = remedy;
    }

    /** As runbooks and logs name it. */
    public String id() {
        return id;
    }

    public String remedy() {
        return remedy;
    }
}
