import {Demo} from './demo.js';

const demo = await Demo.create();
await demo.run();
