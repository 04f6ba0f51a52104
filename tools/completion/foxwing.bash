# Completion for bash: source it, or install it under /usr/share/bash-completion/completions/foxwing.
_foxwing() {
    local current=${COMP_WORDS[COMP_CWORD]}
    local commands="submit request fetch cancel apply show delete watch status members load token journal"
    local options="--url --token --insecure --json --service --class --submission --deadline --declared
        --repeatable --wait --if-version --request-id --dry-run --from --count --plot --outcomes --version --help"
    case $current in
    -*) COMPREPLY=($(compgen -W "$options" -- "$current")) ;;
    *)
        if [ "$COMP_CWORD" = 1 ]; then
            COMPREPLY=($(compgen -W "$commands" -- "$current"))
        else
            COMPREPLY=($(compgen -f -- "$current"))
        fi
        ;;
    esac
}
complete -F _foxwing foxwing
