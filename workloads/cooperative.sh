# Fleet and workload of the Asociación Pantuflas de Lana Andina at its present
# size; variables for scripts/experiment.sh.
export ZONES=cusco-a,puno-b,arequipa-c
export ROUTERS=${ROUTERS:-7} ENGINES=${ENGINES:-20} PLAIN_ENGINES=3
export EXTRA_WORKSPACES=${EXTRA_WORKSPACES:-0}
export CHAT_SERVICE=pattern PLAIN_SERVICE=ledger
export WORKSPACES=puno:7,cusco:5,market:4,w4:1,w5:1,w6:1,w7:1,w8:1,w9:1,w10:1
ENGINE_SETTINGS="--prefill-us 60 --token-ms 20 --cache-tokens 12000"
LOAD_SETTINGS="--sessions ${SESSIONS:-80} --turns 5 --pause-ms 800 --prompt-words 500 --answer-tokens 20 --seconds ${RUN_SECONDS:-20} --bookings ${BOOKINGS:-10} --engine-churn-ms ${CHURN_MS:-5000}"
